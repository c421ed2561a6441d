package workerproto

import "strconv"

// AppendInvoke appends an attempt to buf. The worker abandons it after timeoutMS. An empty idempotencyKey is not sent.
func AppendInvoke(buf, id, group, model, idempotencyKey []byte, timeoutMS int64, body []byte) []byte {
	buf = append(buf, "invoke "...)
	buf = append(buf, id...)
	buf = append(buf, " queue="...)
	buf = append(buf, group...)
	buf = append(buf, ",path="...)
	buf = append(buf, model...)
	buf = append(buf, ",budget="...)
	buf = strconv.AppendInt(buf, timeoutMS, 10)
	if len(idempotencyKey) > 0 {
		buf = append(buf, ",uniq="...)
		buf = append(buf, idempotencyKey...)
	}
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(len(body)), 10)
	buf = append(buf, "\r\n"...)
	buf = append(buf, body...)
	return append(buf, "\r\n"...)
}

// AppendCancel appends the cancellation of an attempt to buf. The worker does not respond to it or to the attempt.
func AppendCancel(buf, id []byte) []byte { return appendLine(buf, "abort ", id) }

// AppendProbe appends a request for the load report to buf.
func AppendProbe(buf, tag []byte) []byte { return appendLine(buf, "gauges ", tag) }

// AppendPing appends a health check to buf, to which any worker responds at once.
func AppendPing(buf, tag []byte) []byte { return appendLine(buf, "alive ", tag) }

// AppendUnloadModel appends a request to unload the idle replicas of a model to buf. The worker does not respond to it.
func AppendUnloadModel(buf []byte, model string) []byte { return appendLine(buf, "evict ", model) }

// AppendLoadModel appends a request to keep replicas of a model loaded to buf.
func AppendLoadModel(buf, tag []byte, model string, replicas int) []byte {
	buf = append(buf, "prewarm "...)
	buf = append(buf, tag...)
	buf = append(buf, " path="...)
	buf = append(buf, model...)
	buf = append(buf, ",replicas="...)
	buf = strconv.AppendInt(buf, int64(replicas), 10)
	return append(buf, "\r\n"...)
}

// appendLine appends a line with one argument to buf.
func appendLine[T string | []byte](buf []byte, verb string, argument T) []byte {
	buf = append(buf, verb...)
	buf = append(buf, argument...)
	return append(buf, "\r\n"...)
}
