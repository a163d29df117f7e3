package simulation

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// workerReplyTimeout is how long a worker's server waits for the worker to accept or refuse
// commands. After that it replies with status 200.
const workerReplyTimeout = 4 * time.Second

// sendRequest sends a worker's or user's request to a controller. If no valid reply arrives,
// receive gets one with status 0.
func (l *Loopback) sendRequest(ctrl *controller, in core.Input, receive func(core.Reply)) {
	request, err := l.newRequest(l.processes[ctrl.index].frontProxy.address(), in)
	must(err)
	go func() { // ends by the client's timeout or Close
		reply := l.sendHTTPRequest(request, in)
		l.post(func() { receive(reply) })
	}()
}

// newRequest returns the HTTP request that sends an input to the controller at an address.
func (l *Loopback) newRequest(address string, in core.Input) (*http.Request, error) {
	method, path, body := http.MethodPost, "", []byte(nil)
	switch x := in.(type) {
	case core.WorkerReported:
		raw, err := wire.Encode(x.Heartbeat)
		if err != nil {
			return nil, err
		}
		path, body = "/v1/report", raw
	case core.UserRequest:
		switch x.Kind {
		case wire.RequestSubmit:
			path, body = "/api/jobs", x.Body
		case wire.RequestStatus:
			method, path = http.MethodGet, "/api/jobs/"+x.JobID
		case wire.RequestCancel:
			path = "/api/jobs/" + x.JobID + "/withdraw"
		}
	}
	if path == "" {
		return nil, fmt.Errorf("no path for %T", in)
	}
	return http.NewRequestWithContext(l.ctx, method, "http://"+address+path, bytes.NewReader(body))
}

// sendHTTPRequest sends a request and returns the reply, or one with status 0 if that fails.
func (l *Loopback) sendHTTPRequest(request *http.Request, in core.Input) core.Reply {
	response, err := l.client.Do(request)
	if err != nil {
		return core.Reply{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return core.Reply{}
	}
	return decodeReply(in, response.StatusCode, body)
}

// decodeReply returns a reply in the form that the models expect: the body of a reply to a
// heartbeat is decoded. For a malformed body it returns a reply with status 0.
func decodeReply(in core.Input, status int, body []byte) core.Reply {
	reply := core.Reply{Status: status, Body: body}
	if _, heartbeat := in.(core.WorkerReported); !heartbeat {
		return reply
	}
	var err error
	switch status {
	case http.StatusOK:
		var decoded wire.HeartbeatReply
		err = wire.Decode(body, &decoded)
		reply.Body = decoded
	case http.StatusMisdirectedRequest:
		var decoded wire.Redirect
		err = wire.Decode(body, &decoded)
		reply.Body = decoded
	}
	if err != nil {
		return core.Reply{}
	}
	return reply
}

// serveWorker starts the server that receives a worker's commands, and returns its address.
func (l *Loopback) serveWorker(worker *simWorker) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, request *http.Request) {
		var batch wire.CommandBatch
		body, err := io.ReadAll(request.Body)
		if err != nil || wire.Decode(body, &batch) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		outcomes := make(chan kv.Outcome, 1)
		l.post(func() { worker.acceptCommands(batch, nil, func(outcome kv.Outcome) { outcomes <- outcome }) })
		select {
		case outcome := <-outcomes:
			if outcome != kv.OK {
				w.WriteHeader(http.StatusConflict)
			}
		case <-time.After(workerReplyTimeout):
		}
	})
	address, err := l.serve(mux)
	must(err)
	return address
}
