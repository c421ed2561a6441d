// Package workerproto reads and writes the platform's worker protocol on byte slices. A message is a line of tokens,
// separated by single spaces, that ends in CR LF. If the last token is a length, a body of that many bytes and another
// CR LF follow. The package does no I/O and uses no clock. Returned slices point into the input.
package workerproto

import (
	"errors"

	"mastchute/control"
	"mastchute/internal/decimal"
)

// Bounds of a response.
const (
	MaxLineBytes = 1 << 10   // bytes of its line, without the line feed
	MaxBodyBytes = 256 << 10 // bytes of its body
)

const maxDecimalDigits = 9 // so that a number fits in 32 bits

// The errors of ReadResponse.
var (
	errMalformedLine = errors.New("response line is too long or malformed")
	errInvalidLength = errors.New("response length is malformed or too large")
	errMissingEnd    = errors.New("response body is not followed by CR LF")
)

// Response is a worker's response to one call.
type Response struct {
	ID         []byte // the tag of the call
	Result     control.Result
	ModelState control.ModelState
	Replicas   int
	LoadReport []byte // for ReadLoadReport; empty if there is none
	Body       []byte
}

// ReadResponse returns the first response in data and its length in bytes, 0 if the response is incomplete. It returns an
// error as soon as data shows that the response is malformed or exceeds a bound; the stream cannot be read any further then.
func ReadResponse(data []byte) (response Response, n int, err error) {
	line, lineLen, err := readLine(data)
	if err != nil || lineLen == 0 {
		return Response{}, 0, err
	}
	response, bodyLen, err := parseLine(line)
	if err != nil {
		return Response{}, 0, err
	}
	rest := data[lineLen:]
	complete, err := checkBodyEnd(rest, bodyLen)
	if err != nil || !complete {
		return Response{}, 0, err
	}
	response.Body = rest[:bodyLen:bodyLen]
	return response, lineLen + bodyLen + len("\r\n"), nil
}

// readLine returns the first line of data without its CR LF, and its length in bytes with it, 0 if the line is incomplete.
func readLine(data []byte) (line []byte, n int, err error) {
	end := -1
	for i := 0; i < len(data) && i <= MaxLineBytes; i++ {
		char := data[i]
		if char == '\n' {
			end = i
			break
		}
		if char < ' ' && char != '\r' || char > '~' {
			return nil, 0, errMalformedLine
		}
	}
	switch {
	case end < 0 && len(data) <= MaxLineBytes:
		return nil, 0, nil
	case end <= 0 || data[end-1] != '\r':
		return nil, 0, errMalformedLine
	}
	return data[:end-1], end + 1, nil
}

// parseLine parses the line of a response: tag, result, fields, and length of the body.
func parseLine(line []byte) (response Response, bodyLen int, err error) {
	id, rest, idOK := cutToken(line)
	resultToken, rest, resultOK := cutToken(rest)
	fields, length, fieldsOK := cutToken(rest)
	if !idOK || !resultOK || !fieldsOK {
		return Response{}, 0, errMalformedLine
	}
	response.ID = id
	result, known := parseResult(resultToken)
	if !known || !response.parseFields(fields) {
		return Response{}, 0, errMalformedLine
	}
	response.Result = result
	size, ok := decimal.ParseDigits(length, maxDecimalDigits)
	if !ok || size > MaxBodyBytes {
		return Response{}, 0, errInvalidLength
	}
	return response, int(size), nil
}

// checkBodyEnd reports whether data contains a whole body of bodyLen bytes and the CR LF after it.
func checkBodyEnd(data []byte, bodyLen int) (complete bool, err error) {
	switch {
	case len(data) > bodyLen && data[bodyLen] != '\r':
		return false, errMissingEnd
	case len(data) < bodyLen+len("\r\n"):
		return false, nil
	case data[bodyLen+1] != '\n':
		return false, errMissingEnd
	}
	return true, nil
}

// cutToken cuts the first token off a line. ok is false if the token is empty or no space follows it.
func cutToken(line []byte) (token, rest []byte, ok bool) {
	for i, char := range line {
		if char == ' ' {
			return line[:i], line[i+1:], i > 0
		}
		if char == '\r' {
			return nil, nil, false
		}
	}
	return nil, nil, false
}

// parseResult maps the result token of a response. Those of a health check map to Succeeded and WorkerError.
func parseResult(token []byte) (result control.Result, ok bool) {
	switch string(token) {
	case "served", "green":
		return control.Succeeded, true
	case "not_here":
		return control.ModelNotLoaded, true
	case "overload":
		return control.AtCapacity, true
	case "crashed", "red":
		return control.WorkerError, true
	case "nobody": // the worker had no time left for the call and did not run it
		return control.NotSent, true
	}
	return 0, false
}

// parseFields parses name=value,name=value, or a dash for no fields. It ignores unknown names, and reports whether the fields
// are well formed.
func (r *Response) parseFields(fields []byte) bool {
	if string(fields) == "-" {
		return true
	}
	for len(fields) > 0 {
		var field []byte
		field, fields = cutEntry(fields, ',')
		name, value, ok := cutPair(field, '=')
		if !ok {
			return false
		}
		switch string(name) {
		case "detail":
			r.ModelState = parseModelState(value, r.ModelState)
		case "replicas":
			replicas, ok := decimal.ParseDigits(value, maxDecimalDigits)
			if !ok {
				return false
			}
			r.Replicas = int(replicas)
		case "use":
			r.LoadReport = value
		}
	}
	return true
}

// parseModelState maps the state of the call's model. For an unknown one it returns previous.
func parseModelState(detail []byte, previous control.ModelState) control.ModelState {
	switch string(detail) {
	case "resident":
		return control.ModelLoaded
	case "booted":
		return control.LoadStarted
	case "rode":
		return control.LoadAwaited
	case "boot_error":
		return control.LoadFailed
	}
	return previous
}
