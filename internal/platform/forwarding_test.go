package platform

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"mastchute/control"
)

// Bodies of all lengths are passed to the worker and back unchanged, and the worker's load report is read.
func TestResponsesAreForwardedUnchanged(t *testing.T) {
	worker := newFakeWorker(t, "w1", func(conn net.Conn, message workerMessage) {
		writeResponse(conn, message, "served", "detail=resident,use=inflight:3;queue:1", message.body)
	})
	h := newHarness(t, "load", worker)
	client := h.dial()
	bodies := map[int32]string{}
	for _, body := range []string{"", "a\r\nb\x00", strings.Repeat("x", 16<<10)} {
		bodies[client.send("write", body, "nonce=5c0f6e1a2b3d4c59a8b7c6d5e4f30211")] = body
	}
	for range bodies {
		reply, ok := client.readReply()
		if want, known := bodies[reply.SeqID]; !ok || !known || reply.Body != want || replyKind(reply) != "returned" {
			t.Errorf("%d: %d bytes, %s", reply.SeqID, len(reply.Body), replyKind(reply))
		}
	}
	for _, message := range worker.messages("invoke") {
		fields := map[string]string{}
		for _, field := range strings.Split(message.fields, ",") {
			name, value, _ := strings.Cut(field, "=")
			fields[name] = value
		}
		if len(message.id) != 16 || fields["queue"] != "write" || fields["path"] != "7f3a9c21e0b4d655" ||
			fields["uniq"] != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" || fields["budget"] == "" || len(fields) != 4 {
			t.Errorf("%+v", message)
		}
	}
	h.waitIdle()
	h.onLoop(func() {
		status := h.dispatcher.Gateway.Status().Workers[0]
		if status.ReportedInFlight <= 0 || len(status.LoadedModels) != 1 {
			t.Errorf("%+v", status)
		}
	})
}

// A connection carries 32 requests at once, their responses may arrive in any order, and a cancelled one gets no reply.
func TestConnectionCarriesManyRequests(t *testing.T) {
	pending := make(chan workerMessage, 64)
	worker := newFakeWorker(t, "w1", func(_ net.Conn, message workerMessage) { pending <- message })
	h := newHarness(t, "load", worker)
	client := h.dial()
	var all []byte
	for seq := int32(1); seq <= maxRequestsPerConn; seq++ {
		all = append(all, requestFrame(seq, "read", fmt.Sprint(seq))...)
	}
	client.Write(all)
	h.waitUntil("all are in flight", func() bool { return h.dispatcher.Gateway.InFlight() == maxRequestsPerConn })
	first := <-pending
	var seq int32
	fmt.Sscan(first.body, &seq)
	client.Write(cancelFrame(seq))
	h.waitUntil("one is cancelled", func() bool { return h.dispatcher.Gateway.InFlight() < maxRequestsPerConn })
	for len(worker.messages("abort")) == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := worker.messages("abort"); got[0].id != first.id {
		t.Errorf("cancelled %+v, want %s", got, first.id)
	}
	done := make(chan bool)
	go func() {
		for message := range pending {
			writeResponse(message.conn, message, "served", "detail=resident", message.body)
		}
		close(done)
	}()
	seen := map[string]bool{first.body: true}
	for range maxRequestsPerConn - 1 {
		reply, ok := client.readReply()
		if !ok || replyKind(reply) != "returned" || reply.Body != fmt.Sprint(reply.SeqID) || seen[reply.Body] {
			t.Fatalf("%+v %v", reply, ok)
		}
		seen[reply.Body] = true
	}
	h.waitIdle()
	close(pending)
	<-done
}

// A response that the model is not loaded causes one load request for the model, and another attempt.
func TestModelNotLoadedTriggersLoad(t *testing.T) {
	worker := newFakeWorker(t, "w1", respond("not_here", "-", ""), respondServed)
	h := newHarness(t, "miss", worker)
	h.expect("read", "returned")
	if got := worker.messages("prewarm"); len(got) != 1 || got[0].fields != "path=7f3a9c21e0b4d655,replicas=1" || len(worker.messages("invoke")) != 2 {
		t.Errorf("%+v", worker.received)
	}
}

// The gateway receives a request's tenant as its index in the settings, or -1 if the tenant is unknown.
func TestTenantReachesGateway(t *testing.T) {
	worker := newFakeWorker(t, "w1", ignore)
	h := newHarness(t, "load", worker)
	h.onLoop(func() { h.dispatcher.clients.tenants["town-library"] = 2 })
	client := h.dial()
	client.send("read", "in", "customer=town-library", "redo=1")
	client.send("read", "in", "customer=nobody")
	h.waitUntil("both are in flight", func() bool { return h.dispatcher.Gateway.InFlight() == 2 })
	h.onLoop(func() {
		for _, request := range h.dispatcher.clients.inFlight {
			want := map[int32]int{1: 2, 2: -1}[request.seqID]
			if request.gatewayRequest.Tenant() != want {
				t.Errorf("request %d: tenant %d, want %d", request.seqID, request.gatewayRequest.Tenant(), want)
			}
		}
	})
}

// No state is left of workers, models, clients and request ids that are no longer used.
func TestChurnLeavesNoState(t *testing.T) {
	h := newHarness(t, "load")
	for i := range 30 {
		worker := newFakeWorker(t, fmt.Sprintf("w%d", i), respondServed)
		h.changeLog.publish(false, worker.memberJSON("active", 0))
		h.waitUntil("the dispatcher is ready", h.dispatcher.Gateway.Ready)
		for range 5 {
			h.expect("read", "returned", "entity="+newID())
		}
		h.changeLog.publish(false, worker.memberJSON("left", 0))
		h.waitUntil("the worker is gone", func() bool { return !h.dispatcher.Gateway.Ready() })
		worker.close()
	}
	h.waitIdle()
	h.waitUntil("connections are closed", func() bool {
		return len(h.dispatcher.clients.workers.conns) == 0 && h.dispatcher.clients.connCount == 0
	})
	h.onLoop(func() {
		h.dispatcher.Gateway.EvictIdle(h.dispatcher.Loop.Now() + 1)
		workers := len(h.dispatcher.Gateway.Status().Workers)
		models := h.dispatcher.Gateway.ModelCount()
		pooled := len(h.dispatcher.clients.freeRequests)
		if workers != 0 || models != 0 || pooled > maxPooledRequests {
			t.Errorf("%d workers, %d models, %d pooled requests left", workers, models, pooled)
		}
	})
}

// Thousands of requests that are cancelled immediately leave no state, and other requests are served meanwhile.
func TestManyCancelledRequests(t *testing.T) {
	worker := newFakeWorker(t, "w1", func(conn net.Conn, message workerMessage) {
		if message.body != "flood" {
			respondServed(conn, message)
		}
	})
	h := newHarness(t, "load", worker)
	h.expect("read", "returned")
	flood := h.dialAccepted()
	var all []byte
	for seq := int32(2); seq < 5002; seq++ {
		all = append(all, requestFrame(seq, "read", "flood")...)
		all = append(all, cancelFrame(seq)...)
	}
	sent := make(chan error, 1)
	go func() {
		_, err := flood.Write(all)
		sent <- err
	}()
	for range 20 {
		h.expect("read", "returned")
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	flood.Write(aliveFrame(6000))
	if reply, ok := flood.readReply(); !ok || reply.SeqID != 6000 {
		t.Errorf("%+v %v: a reply to a cancelled request", reply, ok)
	}
	h.waitIdle()
	h.onLoop(func() {
		clients := h.dispatcher.clients
		if n := len(clients.freeRequests); n > maxPooledRequests {
			t.Errorf("%d pooled requests", n)
		}
		for conn := range clients.workers.conns {
			if len(conn.inFlight) > 0 || len(conn.transport.queue) > 0 || conn.conn.UnsentBytes() > maxUnreadBytes {
				t.Errorf("%d in flight, %d queued, %d bytes unsent", len(conn.inFlight), len(conn.transport.queue), conn.conn.UnsentBytes())
			}
		}
	})
}

// requestRecorder is a control module that records the requests that arrive.
type requestRecorder struct {
	control.Module
	arrived []control.Request
}

func (r *requestRecorder) RequestArrived(request control.Request) {
	r.arrived = append(r.arrived, request)
	r.Module.RequestArrived(request)
}

// The control module learns whether a request is a retry by its client.
func TestClientRetryReachesControlModule(t *testing.T) {
	recorder := &requestRecorder{}
	worker := newFakeWorker(t, "w1", respondServed)
	h := &harness{t: t, changeLog: newFakeChangeLog(t)}
	h.changeLog.publish(true, worker.memberJSON("active", 0))
	h.config = testConfig(t, h.changeLog, "load")
	h.newModule = func(seed uint64, settings control.Settings, actions control.Actions) control.Module {
		recorder.Module = control.New(seed, settings, actions)
		return recorder
	}
	h.start()
	h.waitUntil("the dispatcher is ready", h.dispatcher.Gateway.Ready)
	h.expect("read", "returned")
	h.expect("read", "returned", "redo=1")
	h.onLoop(func() {
		if len(recorder.arrived) != 2 || recorder.arrived[0].ClientRetry || !recorder.arrived[1].ClientRetry {
			t.Errorf("%+v", recorder.arrived)
		}
	})
}
