package gateway

import (
	"strconv"

	"mastchute/control"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
	"mastchute/internal/rules"
)

// This file encodes the heads of attempts over HTTP/1.1, and the headers of a worker's response that the client receives.

// appendAttemptHead appends the request head of an attempt: the client's headers, then the gateway's.
func (g *Gateway) appendAttemptHead(b []byte, a *Attempt, exchange *httpconn.Exchange) []byte {
	r := a.Request
	b = append(b, "POST /v2/models/"...)
	b = append(b, r.model.Name...)
	b = append(b, "/infer HTTP/1.1\r\nHost: "...)
	b = a.Worker.Addr.AppendTo(b)
	b = append(b, "\r\n"...)
	b, hasIdempotencyKey := appendForwardedHeaders(b, &exchange.Head)
	if !hasIdempotencyKey && r.group.effect != control.Retriable { // lets workers drop the gateway's repeats
		b = append(b, "Idempotency-Key: "...)
		b = g.appendRequestID(b, r)
		b = append(b, "\r\n"...)
	}
	b = append(b, "Mastchute-Inference: "...)
	b = g.appendRequestID(b, r)
	b = append(b, "\r\nMastchute-Forward: "...)
	b = strconv.AppendInt(b, int64(a.Index), 10)
	b = append(b, "\r\nMastchute-Dispatcher: "...)
	b = append(b, g.cfg.Name...)
	b = append(b, "\r\nMastchute-Group: "...)
	b = append(b, r.group.Name...)
	b = append(b, "\r\nMastchute-Timeout: "...)
	b = appendSeconds(b, float64(rules.WorkerDeadlineMillis(g.Loop.Clock(), r.deadline))/1e3)
	b = append(b, "\r\n"...)
	b = httpcodec.AppendLength(b, int64(len(exchange.Body)))
	return append(b, "\r\n"...)
}

// appendForwardedHeaders appends the client's headers, except the hop-by-hop ones and those that the gateway sets. It reports
// whether an idempotency key is among them.
func appendForwardedHeaders(b []byte, head *httpcodec.Head) (appended []byte, hasIdempotencyKey bool) {
	connection := head.Get("connection")
	for i := range head.Headers {
		name, value := head.Headers[i].Name, head.Headers[i].Value
		isHopByHop := httpcodec.IsHopByHop(name) || len(connection) > 0 && httpcodec.ListContains(connection, name)
		if isHopByHop || isMastchuteHeader(name) && !isForwardedMastchuteHeader(name) {
			continue
		}
		hasIdempotencyKey = hasIdempotencyKey || httpcodec.EqualsLower(name, "idempotency-key")
		b = appendHeaderBytes(b, name, value)
	}
	return b, hasIdempotencyKey
}

// isForwardedMastchuteHeader reports whether a Mastchute- header of the client is forwarded to workers.
func isForwardedMastchuteHeader(name []byte) bool {
	return httpcodec.EqualsLower(name, "mastchute-tenant") || httpcodec.EqualsLower(name, "mastchute-work")
}

func appendHeaderBytes(b, name, value []byte) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// appendReturnedHeaders appends a worker's headers, except the hop-by-hop ones and those addressed to the gateway.
func appendReturnedHeaders(b []byte, head *httpcodec.Head) []byte {
	for i := range head.Headers {
		name := head.Headers[i].Name
		if httpcodec.IsHopByHop(name) || httpcodec.EqualsLower(name, "endpoint-load-metrics") || isMastchuteHeader(name) {
			continue
		}
		b = appendHeaderBytes(b, name, head.Headers[i].Value)
	}
	return b
}
