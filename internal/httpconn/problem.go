package httpconn

import "mastchute/internal/httpcodec"

// ProblemType is the media type of RFC 9457 problem details.
const ProblemType = "application/problem+json"

// RespondProblem responds with RFC 9457 problem details, the format of all rejections and errors. detail must not need
// escaping in JSON. The exchange must not be used afterwards.
func (e *Exchange) RespondProblem(status int, detail string) {
	head := e.StartResponse(status)
	head = httpcodec.AppendHeader(head, "Content-Type", ProblemType)
	e.FinishResponse(head, AppendProblem(nil, status, detail))
}

// AppendProblem appends RFC 9457 problem details to b. detail must not need escaping in JSON.
func AppendProblem(b []byte, status int, detail string) []byte {
	b = append(b, `{"type":"about:blank","title":"`...)
	b = append(b, httpcodec.Reason(status)...)
	b = append(b, `","status":`...)
	b = append(b, byte('0'+status/100), byte('0'+status/10%10), byte('0'+status%10))
	b = append(b, `,"detail":"`...)
	b = append(b, detail...)
	return append(b, "\"}\n"...)
}
