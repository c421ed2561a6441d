package gateway

import (
	"errors"
	"strconv"

	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
)

// What follows is pure: it reads what a worker said.

// responseMetadata is what the head of a worker's answer says beside the answer itself.
type responseMetadata struct {
	WorkerResponse
	startEpoch  float64 // seconds since 1970; 0 for not told
	memoryMB    float64 // MB, lanes and seconds of a load; 0 for not told
	concurrency float64
	loadSeconds float64
}

// classifyResponse reads the head of an answer. Only a 503 that says Mastchute-Ran: no is proof that nothing ran.
func classifyResponse(h *httpcodec.Head, fields []string) (t responseMetadata) {
	t.SameModelInFlight = -1
	ranNot, miss := false, false
	for i := range h.Headers {
		n, v := h.Headers[i].Name, h.Headers[i].Value
		if len(n) < 9 {
			continue
		}
		if httpcodec.EqualsLower(n, "endpoint-load-metrics") {
			t.LoadReportLen = parseLoadReport(v, fields, t.LoadReport[:])
			continue
		}
		if n[0]|0x20 != 'm' || !httpcodec.EqualsLower(n[:min(10, len(n))], "mastchute-") {
			continue
		}
		switch rest := n[10:]; {
		case httpcodec.EqualsLower(rest, "ran"):
			ranNot = httpcodec.EqualsLower(v, "no")
		case httpcodec.EqualsLower(rest, "why"):
			miss = httpcodec.EqualsLower(v, "miss")
		case httpcodec.EqualsLower(rest, "found"):
			switch string(v) {
			case "warm":
				t.ModelState = control.ModelWarm
			case "began":
				t.ModelState = control.LoadStarted
			case "awaited":
				t.ModelState = control.LoadAwaited
			case "failed":
				t.ModelState = control.LoadFailed
			}
		case httpcodec.EqualsLower(rest, "start"):
			t.startEpoch = parseDecimal(v)
		case httpcodec.EqualsLower(rest, "crowd"):
			t.SameModelInFlight = int(parseDecimal(v))
		case httpcodec.EqualsLower(rest, "copies"):
			t.Replicas = int(parseDecimal(v))
		case httpcodec.EqualsLower(rest, "memory"):
			t.memoryMB = parseDecimal(v)
		case httpcodec.EqualsLower(rest, "lanes"):
			t.concurrency = parseDecimal(v)
		case httpcodec.EqualsLower(rest, "load"):
			t.loadSeconds = parseDecimal(v)
		}
	}
	switch {
	case h.Status == 503 && ranNot && miss:
		t.Result = control.ModelNotLoaded
	case h.Status == 503 && ranNot:
		t.Result = control.AtCapacity
	case h.Status >= 500:
		t.Result = control.WorkerError
	default:
		t.Result = control.Succeeded
	}
	return t
}

// parseDecimal reads a decimal that is not negative, of at most 9 digits on either side of the point; 0 for anything else.
func parseDecimal(b []byte) float64 {
	whole, part, scale, point := 0.0, 0.0, 1.0, false
	if len(b) == 0 || len(b) > 24 {
		return 0
	}
	for _, c := range b {
		switch {
		case c == '.' && !point:
			point = true
		case c < '0' || c > '9':
			return 0
		case point:
			scale /= 10
			part += float64(c-'0') * scale
		default:
			whole = whole*10 + float64(c-'0')
		}
	}
	return whole + part
}

// parseLoadReport reads a load report in ORCA's text form: TEXT name=value, named_metrics.name=value, ... It returns the number
// of fields, 0 unless every one was told.
func parseLoadReport(b []byte, fields []string, out []float64) int {
	if len(b) < 5 || string(b[:5]) != "TEXT " || len(fields) > len(out) {
		return 0
	}
	seen := 0
	for b = b[5:]; len(b) > 0; {
		i := 0
		for i < len(b) && b[i] != ',' {
			i++
		}
		pair := b[:i]
		b = b[min(i+1, len(b)):]
		for len(pair) > 0 && pair[0] == ' ' {
			pair = pair[1:]
		}
		eq := 0
		for eq < len(pair) && pair[eq] != '=' {
			eq++
		}
		if eq == len(pair) {
			continue
		}
		name, value := pair[:eq], pair[eq+1:]
		if len(name) > 14 && string(name[:14]) == "named_metrics." {
			name = name[14:]
		}
		for k, f := range fields {
			if string(name) == f && seen&(1<<k) == 0 {
				out[k] = parseDecimal(value)
				seen |= 1 << k
			}
		}
	}
	if seen != 1<<len(fields)-1 {
		return 0
	}
	return len(fields)
}

// resultOfError tells what a call that ended without an answer proves: it never ran where no byte of it was written, and may
// have run otherwise. A connection that was kept open and that the worker was closing is the classic trap: once a
// byte was written to it, the attempt may have run.
func resultOfError(err error, wrote bool) control.Result {
	switch {
	case wrote:
		return control.ConnectionReset
	case errors.Is(err, httpconn.ErrNotSent), errors.As(err, new(*eventloop.LocalError)): // it says nothing of the worker
		return control.NotSent
	default:
		return control.ConnectFailed
	}
}

// parseModelPath splits /v2/models/NAME/VERB; ok is false for anything else. Percent escapes are not undone: a name with
// one is another name.
func parseModelPath(target []byte) (name, verb []byte, ok bool) {
	const prefix = "/v2/models/"
	for i, c := range target {
		if c == '?' {
			target = target[:i]
			break
		}
	}
	if len(target) <= len(prefix) || string(target[:len(prefix)]) != prefix {
		return nil, nil, false
	}
	rest := target[len(prefix):]
	for i, c := range rest {
		if c == '/' {
			return rest[:i], rest[i+1:], i > 0
		}
	}
	return nil, nil, false
}

func appendSeconds(b []byte, s float64) []byte { return strconv.AppendFloat(b, s, 'f', 3, 64) }
