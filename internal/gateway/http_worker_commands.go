package gateway

import (
	"strconv"

	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
)

// This file implements worker commands over HTTP/1.1.

// httpWorkerCommand is the transport state of a worker command. It implements httpconn.ResponseHandler.
type httpWorkerCommand struct {
	workerCommand *WorkerCommand
	call          httpconn.Call
	head          []byte
	body          []byte
	metadata      responseMetadata
}

// SendWorkerCommand implements WorkerTransport.
func (t *httpWorkerTransport) SendWorkerCommand(c *WorkerCommand) {
	state, _ := c.TransportState.(*httpWorkerCommand)
	if state == nil {
		state = &httpWorkerCommand{workerCommand: c}
		state.call.Handler = state
		c.TransportState = state
	}
	state.metadata = responseMetadata{}
	method, target, body := encodeWorkerCommand(c)
	b := httpcodec.AppendRequest(state.head[:0], method, target)
	b = append(b, "Host: "...)
	b = c.Worker.Addr.AppendTo(b)
	b = append(b, "\r\nMastchute-Dispatcher: "...)
	b = append(b, t.gateway.cfg.Name...)
	b = append(b, "\r\n"...)
	if method == "POST" {
		b = append(b, "Content-Type: application/json\r\n"...)
		b = httpcodec.AppendLength(b, int64(len(body)))
	}
	state.head = append(b, "\r\n"...)
	state.body = append(state.body[:0], body...)
	t.Do(&state.call, state.head, state.body)
}

// encodeWorkerCommand returns the method, target and body of the HTTP request for a worker command.
func encodeWorkerCommand(c *WorkerCommand) (method, target, body string) {
	switch c.Kind {
	case CommandLoadModel, CommandCheckWorker:
		body = `{"parameters":{"copies":` + strconv.Itoa(c.Replicas) + `}}`
		return "POST", "/v2/repository/models/" + c.Model.Name + "/load", body
	case CommandUnloadModel:
		return "POST", "/v2/repository/models/" + c.Model.Name + "/unload", "{}"
	default:
		return "GET", "/v2/load", ""
	}
}

// CancelWorkerCommand implements WorkerTransport.
func (t *httpWorkerTransport) CancelWorkerCommand(c *WorkerCommand) {
	state, _ := c.TransportState.(*httpWorkerCommand)
	if state != nil {
		state.call.Cancel()
	}
}

// ResponseHead implements httpconn.ResponseHandler.
func (h *httpWorkerCommand) ResponseHead(head *httpcodec.Head) {
	c := h.workerCommand
	h.metadata = classifyResponse(head, c.gateway.cfg.LoadReportFields)
	c.Response = h.metadata.WorkerResponse
	c.gateway.observeStart(c.Worker, h.metadata.startEpoch)
}

// ResponseBody implements httpconn.ResponseHandler. The body of a worker command's response is ignored.
func (h *httpWorkerCommand) ResponseBody([]byte) {}

// ResponseDone implements httpconn.ResponseHandler.
func (h *httpWorkerCommand) ResponseDone(err error) {
	h.workerCommand.Finish(finalResult(&h.call, h.metadata.Result, err))
}
