package thrift

import "bytes"

const (
	maxRequestFields       = 64     // fields of a request, including unknown ones
	maxIdempotencyKeyBytes = 64     // bytes
	idDigits               = 16     // hex digits of a request's id and of a model
	maxTimeout             = 3600.0 // s, the longest timeout of a request
	maxWork                = 1e6    // s of work or of a load; more is rejected as a mistake
	maxAmount              = 1e9    // MB, or concurrent requests; more is rejected as a mistake
	secondsPerMilli        = 1e-3
)

// The fields of a request, as bits of the set of fields that were read.
const (
	fieldGroup = 1 << iota
	fieldID
	fieldTimeout
	fieldIdempotencyKey
	fieldModel
	fieldWorkHint
	fieldExtras
	fieldTenant
	fieldClientRetry
)

// readRequest reads the arguments of a dispatch: a map of fields, and a body.
func (m *Message) readRequest(r *reader) {
	const argFields, argBody = 1, 2
	hasFields, hasBody := false, false
	for r.err == nil {
		fieldType, id := r.field()
		if fieldType == typeStop {
			break
		}
		switch id {
		case argFields:
			if hasFields {
				m.setFault(errDuplicateField)
			}
			hasFields = true
			r.expectType(fieldType, typeMap)
			m.readFields(r)
		case argBody:
			if hasBody {
				m.setFault(errDuplicateField)
			}
			hasBody = true
			r.expectType(fieldType, typeString)
			m.Body = r.text()
		default:
			r.skip(fieldType, 0)
		}
	}
	hasIDs := len(m.ID) == idDigits && len(m.Model) == idDigits
	if !hasBody || len(m.Body) > MaxBodyBytes || !hasIDs || len(m.Group) == 0 {
		m.setFault(errInvalidField)
	}
	if m.Timeout <= 0 {
		m.setFault(errInvalidNumber)
	}
}

// readFields reads the map of a request's fields.
func (m *Message) readFields(r *reader) {
	const minEntryBytes = 8 // the lengths of a name and a value
	keyType := r.u8()
	valueType := r.u8()
	n := r.count(minEntryBytes)
	if n > 0 {
		r.expectType(keyType, typeString)
		r.expectType(valueType, typeString)
	}
	if n > maxRequestFields {
		m.setFault(errInvalidField)
	}
	seen := 0
	for ; n > 0 && r.err == nil; n-- {
		name := r.text()
		value := r.text()
		field := m.setField(name, value)
		if seen&field != 0 {
			m.setFault(errDuplicateField)
		}
		seen |= field
	}
}

// setField sets a field of the request by its name on the wire. It returns the field's bit, 0 if it is unknown.
func (m *Message) setField(name, value []byte) (field int) {
	switch string(name) {
	case "route":
		m.Group = value
		return fieldGroup
	case "trace":
		m.ID = value
		m.checkField(isHexID(value))
		return fieldID
	case "patience":
		m.Timeout = m.number(value, secondsPerMilli, maxTimeout)
		return fieldTimeout
	case "nonce":
		m.IdempotencyKey = value
		m.checkField(isIdempotencyKey(value))
		return fieldIdempotencyKey
	case "entity":
		m.Model = value
		m.checkField(isHexID(value))
		return fieldModel
	case "weight":
		m.WorkHint = m.number(value, secondsPerMilli, maxWork)
		return fieldWorkHint
	case "extras":
		m.setExtras(value)
		return fieldExtras
	case "customer":
		m.Tenant = value
		return fieldTenant
	case "redo":
		m.ClientRetry = len(value) > 0 && string(value) != "0" && string(value) != "false"
		return fieldClientRetry
	}
	return 0
}

// setExtras sets the fields of a list name:value;name:value. Unknown names are ignored.
func (m *Message) setExtras(list []byte) {
	for len(list) > 0 {
		var entry []byte
		entry, list = cutEntry(list)
		colon := bytes.IndexByte(entry, ':')
		if colon < 0 {
			m.setFault(errInvalidField)
			continue
		}
		value := entry[colon+1:]
		switch string(entry[:colon]) {
		case "memory_mb":
			m.MemoryMB = m.number(value, 1, maxAmount)
		case "lanes":
			m.Concurrency = m.number(value, 1, maxAmount)
		case "load_ms":
			m.LoadTimeHint = m.number(value, secondsPerMilli, maxWork)
		}
	}
}

// cutEntry cuts the first entry off a list. rest is empty after the last entry.
func cutEntry(list []byte) (entry, rest []byte) {
	i := bytes.IndexByte(list, ';')
	if i < 0 {
		return list, nil
	}
	return list[:i], list[i+1:]
}

// checkField sets a fault unless valid is set.
func (m *Message) checkField(valid bool) {
	if !valid {
		m.setFault(errInvalidField)
	}
}

// number parses a decimal number and multiplies it by unit. It sets a fault and returns 0 if text is not a number or the
// result exceeds limit.
func (m *Message) number(text []byte, unit, limit float64) float64 {
	value, ok := ParseDecimal(text)
	value *= unit
	if !ok || !(value <= limit) { // also true for NaN
		m.setFault(errInvalidNumber)
		return 0
	}
	return value
}

// isHexID reports whether text is 16 lower-case hex digits.
func isHexID(text []byte) bool {
	for _, char := range text {
		if !(char >= '0' && char <= '9' || char >= 'a' && char <= 'f') {
			return false
		}
	}
	return len(text) == idDigits
}

// isIdempotencyKey reports whether text is a valid idempotency key, which can be sent in a line to a worker unchanged.
func isIdempotencyKey(text []byte) bool {
	for _, char := range text {
		if !isAlphanumeric(char) && char != '-' && char != '_' {
			return false
		}
	}
	return len(text) > 0 && len(text) <= maxIdempotencyKeyBytes
}

func isAlphanumeric(char byte) bool {
	return char >= '0' && char <= '9' || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
}
