package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
)

// Record is one line of what a stand-in saw on its sockets. Times are seconds since 1970.
type Record struct {
	T          float64 `json:"t"`
	Worker     string  `json:"worker"`
	Event      string  `json:"event"`
	Request    string  `json:"inference,omitempty"`
	Attempt    int     `json:"forward,omitempty"`
	Dispatcher string  `json:"dispatcher,omitempty"`
	Key        string  `json:"key,omitempty"`
	Group      string  `json:"group,omitempty"`
	Model      string  `json:"model,omitempty"`
	Found      string  `json:"found,omitempty"`
	Ran        bool    `json:"ran,omitempty"` // of an end: it had begun to run
	Why        string  `json:"why,omitempty"`
}

// Of fills in what the request itself tells.
func (rec *Record) Of(r *Req) {
	rec.Model, rec.Group, rec.Key, rec.Found, rec.Ran = r.Model, r.Group, r.Key, r.Found, r.RanAt > 0
	switch r.Verdict {
	case TurnFull:
		rec.Why = "full"
	case TurnMiss:
		rec.Why = "miss"
	case Broke:
		rec.Why = "error"
	}
}

// Server plays a fleet on one loop: a listener for each worker, and one for faults.
type Server struct {
	Loop    *eventloop.Loop
	fleet   *Fleet
	records io.Writer
	epoch   float64
	ports   []*port
	timer   eventloop.Timer
	control *httpconn.Server
	encoder *json.Encoder
}

// port is one worker's listener.
type port struct {
	s    *Server
	i    int
	addr netip.AddrPort
	srv  *httpconn.Server
}

// call is what is known of a request while it is in flight.
type call struct {
	x          *httpconn.Exchange
	req        Req
	port       *port
	request    string
	attempt    int
	dispatcher string
}

// NewServer listens for every worker at the given addresses (port 0 takes a free one) and for faults at ctl, which
// may be invalid for none. records gets one JSON line for each event; it may be nil.
func NewServer(l *eventloop.Loop, spec Spec, at []netip.AddrPort, ctl netip.AddrPort, records io.Writer, cold bool) (*Server, error) {
	s := &Server{Loop: l, fleet: NewFleet(spec, cold), records: records}
	s.epoch, _ = l.WallClock()
	if records != nil {
		s.encoder = json.NewEncoder(records)
	}
	s.fleet.Log = s.log
	s.fleet.Vanished = func(i int) { l.Defer(func() { s.ports[i].srv.Close() }) }
	s.fleet.Returned = func(i int) { l.Defer(func() { s.ports[i].listen() }) }
	s.timer.Fire = s.tick
	if cold {
		for _, w := range s.fleet.workers {
			s.log(0, w.Name, "start", nil)
		}
	}
	for i, a := range at {
		p := &port{s: s, i: i, addr: a}
		if err := p.listen(); err != nil {
			return nil, err
		}
		p.addr = p.srv.Addr()
		s.ports = append(s.ports, p)
	}
	if ctl.IsValid() {
		c, err := httpconn.NewServer(l, ctl, &controls{s}, httpconn.ServerOptions{})
		if err != nil {
			return nil, err
		}
		s.control = c
	}
	return s, nil
}

// Addr is the address of worker i.
func (s *Server) Addr(i int) netip.AddrPort { return s.ports[i].addr }

// Control is the address of the listener for faults.
func (s *Server) Control() netip.AddrPort { return s.control.Addr() }

// Fleet is the model. On the loop only.
func (s *Server) Fleet() *Fleet { return s.fleet }

// Set switches a trouble on. On the loop.
func (s *Server) Set(x Fault) bool {
	ok := s.fleet.Set(s.Loop.Now(), x)
	s.after()
	return ok
}

func (p *port) listen() (err error) {
	p.srv, err = httpconn.NewServer(p.s.Loop, p.addr, p, httpconn.ServerOptions{IdleTimeout: 3600})
	return err
}

func (s *Server) log(now float64, w, event string, r *Req) {
	if s.encoder == nil {
		return
	}
	rec := Record{T: s.epoch + now, Worker: w, Event: event}
	if r != nil {
		rec.Of(r)
		if c, ok := r.Owner.(*call); ok {
			rec.Request, rec.Attempt, rec.Dispatcher = c.request, c.attempt, c.dispatcher
		}
	}
	s.encoder.Encode(rec)
}

// HeadReceived implements httpconn.Service.
func (p *port) HeadReceived(x *httpconn.Exchange) bool { return false }

// RequestRefused implements httpconn.Service.
func (p *port) RequestRefused(*httpcodec.Error) {}

// StreamWritable implements httpconn.Service.
func (p *port) StreamWritable(*httpconn.Exchange) {}

// ClientGone implements httpconn.Service.
func (p *port) ClientGone(x *httpconn.Exchange) {
	if c, ok := x.ServiceState.(*call); ok && c.x == x {
		c.x = nil
		p.s.fleet.Cancel(p.s.Loop.Now(), &c.req)
		p.s.after()
	}
}

// RequestReceived implements httpconn.Service.
func (p *port) RequestReceived(x *httpconn.Exchange) {
	s, h := p.s, &x.Head
	target := string(h.Target)
	name, verb, _ := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(target, "/v2/repository"), "/v2/models/"), "/")
	if rest, ok := strings.CutPrefix(target, "/v2/repository/models/"); ok {
		name, verb, _ = strings.Cut(rest, "/")
	}
	c := &call{x: x, port: p, dispatcher: string(h.Get("mastchute-dispatcher")), request: string(h.Get("mastchute-inference"))}
	c.attempt, _ = strconv.Atoi(string(h.Get("mastchute-forward")))
	c.req = Req{Owner: c, Model: name, Key: string(h.Get("idempotency-key")), Tenant: string(h.Get("mastchute-tenant"))}
	x.ServiceState = c
	switch {
	case verb == "infer":
		if t, err := strconv.ParseFloat(string(h.Get("mastchute-timeout")), 64); err == nil {
			c.req.Until = s.Loop.Now() + t
		}
	case verb == "load":
		c.req.Order, c.req.Copies = 1, 1
		var body struct {
			Parameters struct{ Copies int }
		}
		if json.Unmarshal(x.Body, &body) == nil && body.Parameters.Copies > 0 {
			c.req.Copies = body.Parameters.Copies
		}
	case verb == "unload":
		s.fleet.Unload(s.Loop.Now(), p.i, name)
		x.FinishResponse(p.headers(x.StartResponse(200)), nil)
		return
	case target == "/v2/load":
		x.FinishResponse(p.headers(x.StartResponse(200)), nil)
		return
	default:
		x.Problem(404, "no such path")
		return
	}
	if s.fleet.Has(p.i, "slow_connect") {
		t := &eventloop.Timer{Fire: func() { p.arrive(c) }}
		s.Loop.Start(t, 0.2)
		return
	}
	p.arrive(c)
}

func (p *port) arrive(c *call) {
	if c.x == nil {
		return
	}
	p.s.fleet.Arrive(p.s.Loop.Now(), p.i, &c.req)
	if c.req.Verdict != Open {
		p.s.answer(c)
	}
	p.s.after()
}

// after answers what has ended, and sets the timer for what ends next.
func (s *Server) after() {
	for _, r := range s.fleet.TakeDone() {
		if c, ok := r.Owner.(*call); ok {
			s.answer(c)
		}
	}
	if next := s.fleet.Next(); !math.IsInf(next, 1) {
		s.Loop.Start(&s.timer, next-s.Loop.Now())
	} else {
		s.Loop.Cancel(&s.timer)
	}
}

func (s *Server) tick() {
	s.fleet.Advance(s.Loop.Now())
	s.after()
}

// headers are those of every answer.
func (p *port) headers(b []byte) []byte {
	f := p.s.fleet
	in, queue := f.Report(p.i)
	b = append(b, "Mastchute-Start: "...)
	b = strconv.AppendFloat(b, p.s.epoch+f.Start(p.i), 'f', 6, 64)
	b = append(b, "\r\nendpoint-load-metrics: TEXT named_metrics.inflight="...)
	b = strconv.AppendFloat(b, in, 'f', -1, 64)
	b = append(b, ", named_metrics.queue="...)
	b = strconv.AppendFloat(b, queue, 'f', -1, 64)
	return append(b, "\r\n"...)
}

func (s *Server) answer(c *call) {
	x := c.x
	if x == nil || c.req.Verdict == Silent || c.req.Verdict == Dead {
		return
	}
	c.x = nil
	p, r := c.port, &c.req
	switch r.Verdict {
	case Served:
		b := p.headers(x.StartResponse(200))
		if r.Order > 0 {
			x.FinishResponse(fmt.Appendf(b, "Mastchute-Copies: %d\r\n", r.Copies), nil)
			return
		}
		b = fmt.Appendf(b, "Content-Type: application/json\r\nMastchute-Found: %s\r\nMastchute-Crowd: %d\r\n", r.Found, r.Crowd)
		body := fmt.Appendf(nil, `{"model_name":%q,"outputs":[],"worker":%q}`+"\n", r.Model, p.s.fleet.Name(p.i))
		if m := s.fleet.model(r.Model); m != nil && m.AnswerBytes > len(body) {
			body = append(body, make([]byte, m.AnswerBytes-len(body))...)
		}
		if r.Reset || r.Cut {
			x.StartStream(b, int64(len(body)+100))
			x.WriteStream(body)
			if r.Cut {
				x.CloseAfter()
				x.EndStream()
			} else {
				s.Loop.Defer(func() { s.Loop.Defer(x.AbortStream) }) // after the bytes have gone out
			}
			return
		}
		x.FinishResponse(b, body)
	case TurnFull, TurnMiss:
		why := "full"
		if r.Verdict == TurnMiss {
			why = "miss"
		}
		b := fmt.Appendf(p.headers(x.StartResponse(503)), "Mastchute-Ran: no\r\nMastchute-Why: %s\r\n", why)
		if r.Found == "failed" {
			b = append(b, "Mastchute-Found: failed\r\n"...)
		}
		if r.Order > 0 {
			b = fmt.Appendf(b, "Mastchute-Copies: %d\r\n", r.Copies)
		}
		x.FinishResponse(b, nil)
	case Broke:
		x.FinishResponse(p.headers(x.StartResponse(500)), []byte("error\n"))
	}
}

// controls serves POST /fault with a Fault as JSON.
type controls struct{ s *Server }

func (c *controls) HeadReceived(*httpconn.Exchange) bool { return false }
func (c *controls) RequestRefused(*httpcodec.Error)      {}
func (c *controls) StreamWritable(*httpconn.Exchange)    {}
func (c *controls) ClientGone(*httpconn.Exchange)        {}

func (c *controls) RequestReceived(x *httpconn.Exchange) {
	var f Fault
	if err := json.Unmarshal(x.Body, &f); err != nil || string(x.Head.Target) != "/fault" {
		x.Problem(400, "write POST /fault with kind, worker, share, factor, span, what")
		return
	}
	if !c.s.Set(f) {
		x.Problem(404, "no such kind or worker")
		return
	}
	x.FinishResponse(x.StartResponse(200), nil)
}
