// Package workerproto is the platform's worker protocol on byte slices: lines of words that end in CR LF, and, where the last
// word is a length, that many bytes and another CR LF. It does no I/O and has no clock; what it returns points into what
// it was given. No line and no body is taken beyond its bound.
package workerproto

import (
	"errors"
	"strconv"

	"mastchute/control"
)

const (
	MaxLineBytes = 1 << 10   // bytes of an answer's line
	MaxBodyBytes = 256 << 10 // bytes of an answer's body
)

// The faults of an answer: the connection can't go on.
var (
	errLine   = errors.New("an answer's line is too long or malformed")
	errLength = errors.New("an answer's length is malformed or too large")
	errEnd    = errors.New("an answer does not end where its length says")
)

// Response is one answer of a worker.
type Response struct {
	ID         []byte
	Result     control.Result
	ModelState control.ModelState
	Replicas   int
	LoadReport []byte // load report, for ReadReport; empty where not told
	Body       []byte
}

// ReadResponse reads the first answer of b and how many bytes it takes; 0 means that it is not whole yet. What is malformed or
// beyond its bound is an error as soon as that shows.
func ReadResponse(b []byte) (a Response, n int, err error) {
	end := -1
	for i := 0; i < len(b) && i <= MaxLineBytes; i++ {
		if c := b[i]; c == '\n' {
			end = i
			break
		} else if c < ' ' && c != '\r' || c > '~' {
			return a, 0, errLine
		}
	}
	if end < 0 {
		if len(b) > MaxLineBytes {
			return a, 0, errLine
		}
		return a, 0, nil
	}
	if end == 0 || b[end-1] != '\r' {
		return a, 0, errLine
	}
	line := b[:end-1]
	id, line, ok1 := word(line)
	what, line, ok2 := word(line)
	fields, length, ok3 := word(line)
	if !ok1 || !ok2 || !ok3 || len(id) == 0 || len(fields) == 0 {
		return a, 0, errLine
	}
	a.ID = id
	if a.Result, ok1 = result(what); !ok1 || !a.fields(fields) {
		return a, 0, errLine
	}
	size, ok := decimal(length)
	if !ok || size > MaxBodyBytes {
		return a, 0, errLength
	}
	rest := b[end+1:]
	if len(rest) < size+2 {
		if len(rest) > size && rest[size] != '\r' {
			return a, 0, errEnd
		}
		return a, 0, nil
	}
	if rest[size] != '\r' || rest[size+1] != '\n' {
		return a, 0, errEnd
	}
	a.Body = rest[:size:size]
	return a, end + 1 + size + 2, nil
}

// word takes the first word off a line; ok where a single space follows it.
func word(line []byte) (w, rest []byte, ok bool) {
	for i, c := range line {
		if c == ' ' {
			return line[:i], line[i+1:], i > 0
		}
		if c == '\r' {
			return nil, nil, false
		}
	}
	return nil, nil, false
}

// decimal reads a length: one to nine digits.
func decimal(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > 9 {
		return 0, false
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// result turns the word of an answer into ours; those about health stand for an answer and an error.
func result(w []byte) (control.Result, bool) {
	switch string(w) {
	case "served", "green":
		return control.Succeeded, true
	case "not_here":
		return control.ModelNotLoaded, true
	case "overload":
		return control.AtCapacity, true
	case "crashed", "red":
		return control.WorkerError, true
	case "nobody": // the request was over already: it never ran
		return control.NotSent, true
	}
	return 0, false
}

// fields reads name=value,name=value or a dash.
func (a *Response) fields(b []byte) bool {
	if string(b) == "-" {
		return true
	}
	for len(b) > 0 {
		i, eq := 0, -1
		for i < len(b) && b[i] != ',' {
			if b[i] == '=' && eq < 0 {
				eq = i
			}
			i++
		}
		if eq <= 0 {
			return false
		}
		name, value := b[:eq], b[eq+1:i]
		b = b[min(i+1, len(b)):]
		switch string(name) {
		case "detail":
			switch string(value) {
			case "resident":
				a.ModelState = control.ModelWarm
			case "booted":
				a.ModelState = control.LoadStarted
			case "rode":
				a.ModelState = control.LoadAwaited
			case "boot_error":
				a.ModelState = control.LoadFailed
			}
		case "replicas":
			n, ok := decimal(value)
			if !ok {
				return false
			}
			a.Replicas = n
		case "use":
			a.LoadReport = value
		}
	}
	return true
}

// ReadLoadReport reads name:value;name:value into out, in the order of names. It returns how many there are: 0 unless each
// was told once as a number.
func ReadLoadReport(b []byte, names []string, out []float64, number func([]byte) (float64, bool)) int {
	seen := 0
	for len(b) > 0 && len(names) <= len(out) {
		i, colon := 0, -1
		for i < len(b) && b[i] != ';' {
			if b[i] == ':' && colon < 0 {
				colon = i
			}
			i++
		}
		if colon > 0 {
			for k, name := range names {
				if string(b[:colon]) == name {
					v, ok := number(b[colon+1 : i])
					if !ok || seen&(1<<k) != 0 {
						return 0
					}
					out[k], seen = v, seen|1<<k
				}
			}
		}
		b = b[min(i+1, len(b)):]
	}
	if len(names) == 0 || seen != 1<<len(names)-1 {
		return 0
	}
	return len(names)
}

// AppendInvoke appends an attempt; timeout is in milliseconds, mark may be empty.
func AppendInvoke(b, id, group, model, mark []byte, timeoutMS int64, body []byte) []byte {
	b = append(b, "invoke "...)
	b = append(b, id...)
	b = append(b, " queue="...)
	b = append(b, group...)
	b = append(b, ",path="...)
	b = append(b, model...)
	b = append(b, ",budget="...)
	b = strconv.AppendInt(b, timeoutMS, 10)
	if len(mark) > 0 {
		b = append(b, ",uniq="...)
		b = append(b, mark...)
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n"...)
	b = append(b, body...)
	return append(b, "\r\n"...)
}

// AppendCancel appends that an attempt is given up; no answer comes.
func AppendCancel(b, id []byte) []byte {
	b = append(b, "abort "...)
	b = append(b, id...)
	return append(b, "\r\n"...)
}

// AppendProbe appends a question for the load report; AppendPing one whether the worker is there.
func AppendProbe(b, tag []byte) []byte { return appendLine(b, "gauges ", tag) }

// AppendPing appends a question that any worker answers at once.
func AppendPing(b, tag []byte) []byte { return appendLine(b, "alive ", tag) }

// AppendUnloadModel appends an order to unload the idle copies of a model; no answer comes.
func AppendUnloadModel(b []byte, model string) []byte { return appendLine(b, "evict ", []byte(model)) }

func appendLine(b []byte, verb string, arg []byte) []byte {
	b = append(b, verb...)
	b = append(b, arg...)
	return append(b, "\r\n"...)
}

// AppendLoadModel appends an order to hold copies of a model.
func AppendLoadModel(b, tag []byte, model string, copies int) []byte {
	b = append(b, "prewarm "...)
	b = append(b, tag...)
	b = append(b, " path="...)
	b = append(b, model...)
	b = append(b, ",replicas="...)
	b = strconv.AppendInt(b, int64(copies), 10)
	return append(b, "\r\n"...)
}
