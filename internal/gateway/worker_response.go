package gateway

import (
	"bytes"
	"errors"

	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
)

// This file interprets HTTP/1.1 responses of workers. Its functions are pure.

const headerPrefix = "mastchute-" // of the protocol's own headers, which clients, the gateway and workers exchange

const maxDecimalLen = 24 // bytes of a decimal number in a header field

// responseMetadata is what the head of a worker's response reports about the request, the model and the worker.
type responseMetadata struct {
	WorkerResponse
	startEpoch  float64 // start of the worker's process, seconds since 1970; 0 if not reported
	memoryMB    float64 // of the model; 0 if not reported
	concurrency float64 // requests of the model that a replica serves concurrently; 0 if not reported
	loadSeconds float64 // time to load the model; 0 if not reported
}

// rejection is what a 503 response reports about its reason.
type rejection struct {
	notRun         bool // the request did not run
	modelNotLoaded bool
}

// classifyResponse interprets the head of a response. Only a 503 with Mastchute-Ran: no proves that the request did not
// run.
func classifyResponse(head *httpcodec.Head, reportFields []string) responseMetadata {
	var metadata responseMetadata
	var rejected rejection
	metadata.SameModelInFlight = -1
	for i := range head.Headers {
		name, value := head.Headers[i].Name, head.Headers[i].Value
		if httpcodec.EqualsLower(name, "endpoint-load-metrics") {
			metadata.LoadReportLen = parseLoadReport(value, reportFields, metadata.LoadReport[:])
			continue
		}
		if isMastchuteHeader(name) {
			metadata.readHeader(name[len(headerPrefix):], value, &rejected)
		}
	}
	switch {
	case head.Status == 503 && rejected.notRun && rejected.modelNotLoaded:
		metadata.Result = control.ModelNotLoaded
	case head.Status == 503 && rejected.notRun:
		metadata.Result = control.AtCapacity
	case head.Status >= 500:
		metadata.Result = control.WorkerError
	default:
		metadata.Result = control.Succeeded
	}
	return metadata
}

// isMastchuteHeader reports whether the name of a header has the prefix Mastchute- and more.
func isMastchuteHeader(name []byte) bool {
	return len(name) > len(headerPrefix) && httpcodec.EqualsLower(name[:len(headerPrefix)], headerPrefix)
}

// readHeader reads a Mastchute- header; name is without the prefix.
func (m *responseMetadata) readHeader(name, value []byte, rejected *rejection) {
	switch {
	case httpcodec.EqualsLower(name, "ran"):
		rejected.notRun = httpcodec.EqualsLower(value, "no")
	case httpcodec.EqualsLower(name, "why"):
		rejected.modelNotLoaded = httpcodec.EqualsLower(value, "miss")
	case httpcodec.EqualsLower(name, "found"):
		m.readModelState(value)
	case httpcodec.EqualsLower(name, "start"):
		m.startEpoch = parseDecimal(value)
	case httpcodec.EqualsLower(name, "crowd"):
		m.SameModelInFlight = int(parseDecimal(value))
	case httpcodec.EqualsLower(name, "copies"):
		m.Replicas = int(parseDecimal(value))
	case httpcodec.EqualsLower(name, "memory"):
		m.memoryMB = parseDecimal(value)
	case httpcodec.EqualsLower(name, "lanes"):
		m.concurrency = parseDecimal(value)
	case httpcodec.EqualsLower(name, "load"):
		m.loadSeconds = parseDecimal(value)
	}
}

// readModelState reads the state of the model on arrival of the request. It ignores an unknown state.
func (m *responseMetadata) readModelState(value []byte) {
	switch string(value) {
	case "warm":
		m.ModelState = control.ModelLoaded
	case "began":
		m.ModelState = control.LoadStarted
	case "awaited":
		m.ModelState = control.LoadAwaited
	case "failed":
		m.ModelState = control.LoadFailed
	}
}

// parseDecimal returns the value of a decimal number without sign or exponent, and 0 for any other text. It differs from
// thrift.ParseDecimal, which accepts exponents and longer texts, and whose results may differ in the last bits.
func parseDecimal(text []byte) float64 {
	if len(text) == 0 || len(text) > maxDecimalLen {
		return 0
	}
	whole := 0.0
	fraction := 0.0
	scale := 1.0 // place value of the latest digit of the fraction
	inFraction := false
	for _, c := range text {
		switch {
		case c == '.' && !inFraction:
			inFraction = true
		case c < '0' || c > '9':
			return 0
		case inFraction:
			scale /= 10
			fraction += float64(c-'0') * scale
		default:
			whole = whole*10 + float64(c-'0')
		}
	}
	return whole + fraction
}

// parseLoadReport parses a load report in ORCA's text format, TEXT name=value, named_metrics.name=value, ..., into values in
// the order of fields. It returns the number of fields, or 0 unless every field is reported. If a field is reported twice, the
// first value counts. A value that is not a number is read as 0; workerproto.ReadLoadReport drops such reports instead.
func parseLoadReport(report []byte, fields []string, values []float64) int {
	const format = "TEXT "
	if len(report) < len(format) || string(report[:len(format)]) != format || len(fields) > len(values) {
		return 0
	}
	seen := 0 // bit i: fields[i] has been read
	rest := report[len(format):]
	for len(rest) > 0 {
		end := indexByte(rest, ',')
		name, value, ok := splitMetric(rest[:end])
		rest = rest[min(end+1, len(rest)):]
		if !ok {
			continue
		}
		for i, field := range fields {
			if string(name) == field && seen&(1<<i) == 0 {
				values[i] = parseDecimal(value)
				seen |= 1 << i
			}
		}
	}
	if seen != 1<<len(fields)-1 {
		return 0
	}
	return len(fields)
}

// splitMetric splits name=value, and removes leading spaces and the prefix of named metrics from the name.
func splitMetric(pair []byte) (name, value []byte, ok bool) {
	const namedPrefix = "named_metrics."
	for len(pair) > 0 && pair[0] == ' ' {
		pair = pair[1:]
	}
	equals := indexByte(pair, '=')
	if equals == len(pair) {
		return nil, nil, false
	}
	name = pair[:equals]
	if len(name) > len(namedPrefix) && string(name[:len(namedPrefix)]) == namedPrefix {
		name = name[len(namedPrefix):]
	}
	return name, pair[equals+1:], true
}

// indexByte returns the index of the first c in b, len(b) if there is none.
func indexByte(b []byte, c byte) int {
	i := bytes.IndexByte(b, c)
	if i < 0 {
		return len(b)
	}
	return i
}

// resultOfError returns the result of a call that ended without a response. If no byte of it was written, it did not run;
// otherwise it may have run, even on a reused connection that the worker was closing.
func resultOfError(err error, anyByteSent bool) control.Result {
	if anyByteSent {
		return control.ConnectionReset
	}
	var localErr *eventloop.LocalError
	if errors.Is(err, httpconn.ErrNotSent) || errors.As(err, &localErr) { // a local failure says nothing about the worker
		return control.NotSent
	}
	return control.ConnectFailed
}
