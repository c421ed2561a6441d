package emulator

import (
	"fmt"
	"strconv"
)

// unsentBytes is the number of bytes of the declared length that a reset or truncated response does not send.
const unsentBytes = 100

// appendHeaders appends the headers that every response carries: the worker's start and its load report.
func (wl *workerListener) appendHeaders(b []byte) []byte {
	fleet := wl.emulatorServer.fleet
	inFlight, queued := fleet.LoadReport(wl.worker)
	b = append(b, "Mastchute-Start: "...)
	b = strconv.AppendFloat(b, wl.emulatorServer.startedAt+fleet.StartTime(wl.worker), 'f', 6, 64)
	b = append(b, "\r\nendpoint-load-metrics: TEXT named_metrics.inflight="...)
	b = strconv.AppendFloat(b, inFlight, 'f', -1, 64)
	b = append(b, ", named_metrics.queue="...)
	b = strconv.AppendFloat(b, queued, 'f', -1, 64)
	return append(b, "\r\n"...)
}

// respond sends the response to a request that ended, unless its client disconnected or its outcome has no response.
func (s *Server) respond(p *pendingRequest) {
	if p.exchange == nil || p.request.Outcome == NoResponse || p.request.Outcome == WorkerLost {
		return
	}
	switch p.request.Outcome {
	case Served:
		if p.request.IsLoad {
			s.respondLoaded(p)
		} else {
			s.respondServed(p)
		}
	case RejectedFull:
		s.respondRejected(p, WhyFull)
	case RejectedMiss:
		s.respondRejected(p, WhyMiss)
	case Errored:
		p.exchange.FinishResponse(p.listener.appendHeaders(p.exchange.StartResponse(500)), []byte("error\n"))
	}
	p.exchange = nil
}

func (s *Server) respondLoaded(p *pendingRequest) {
	head := p.listener.appendHeaders(p.exchange.StartResponse(200))
	p.exchange.FinishResponse(fmt.Appendf(head, "Mastchute-Copies: %d\r\n", p.request.Replicas), nil)
}

func (s *Server) respondServed(p *pendingRequest) {
	x := p.exchange
	r := &p.request
	head := p.listener.appendHeaders(x.StartResponse(200))
	head = fmt.Appendf(head, "Content-Type: application/json\r\nMastchute-Found: %s\r\nMastchute-Crowd: %d\r\n", r.ModelState, r.SameModelInFlight)
	body := fmt.Appendf(nil, `{"model_name":%q,"outputs":[],"worker":%q}`+"\n", r.Model, s.fleet.Name(p.listener.worker))
	if m := s.fleet.modelSpec(r.Model); m != nil && m.ResponseBytes > len(body) {
		body = append(body, make([]byte, m.ResponseBytes-len(body))...)
	}
	if !r.ResetResponse && !r.TruncateResponse {
		x.FinishResponse(head, body)
		return
	}
	x.StartStream(head, int64(len(body)+unsentBytes))
	x.WriteStream(body)
	if r.TruncateResponse {
		x.CloseAfterResponse()
		x.EndStream()
		return
	}
	s.Loop.Defer(func() { s.Loop.Defer(x.AbortStream) }) // after the bytes are written
}

func (s *Server) respondRejected(p *pendingRequest, why string) {
	r := &p.request
	head := fmt.Appendf(p.listener.appendHeaders(p.exchange.StartResponse(503)), "Mastchute-Ran: no\r\nMastchute-Why: %s\r\n", why)
	if r.ModelState == LoadFailed {
		head = append(head, "Mastchute-Found: failed\r\n"...)
	}
	if r.IsLoad {
		head = fmt.Appendf(head, "Mastchute-Copies: %d\r\n", r.Replicas)
	}
	p.exchange.FinishResponse(head, nil)
}
