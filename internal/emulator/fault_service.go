package emulator

import (
	"encoding/json"

	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
)

// faultService serves POST /fault, whose body is a Fault in JSON.
type faultService struct{ server *Server }

// HeadReceived implements httpconn.Service: bodies are buffered.
func (fs *faultService) HeadReceived(*httpconn.Exchange) bool { return false }

// RequestRejected implements httpconn.Service.
func (fs *faultService) RequestRejected(*httpcodec.Error) {}

// StreamWritable implements httpconn.Service.
func (fs *faultService) StreamWritable(*httpconn.Exchange) {}

// ClientDisconnected implements httpconn.Service.
func (fs *faultService) ClientDisconnected(*httpconn.Exchange) {}

// RequestReceived implements httpconn.Service.
func (fs *faultService) RequestReceived(x *httpconn.Exchange) {
	var fault Fault
	err := json.Unmarshal(x.Body, &fault)
	if err != nil || string(x.Head.Target) != "/fault" {
		x.RespondProblem(400, "write POST /fault with kind, worker, share, factor, span, what")
		return
	}
	if !fs.server.injectFault(fault) {
		x.RespondProblem(404, "no such kind or worker")
		return
	}
	x.FinishResponse(x.StartResponse(200), nil)
}
