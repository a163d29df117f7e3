package simulation

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// sendRequest carries a worker's or user's request to a controller; no answer is status 0.
func (loopback *Loopback) sendRequest(ctrl *controller, in core.Input, reply func(core.Reply)) {
	var req *http.Request
	base := "http://" + loopback.processes[ctrl.index].frontProxy.address()
	switch x := in.(type) {
	case core.WorkerReported:
		raw, err := wire.Encode(x.Heartbeat)
		must(err)
		req, _ = http.NewRequest(http.MethodPost, base+"/v1/report", bytes.NewReader(raw))
	case core.UserRequest:
		switch x.Kind {
		case wire.RequestSubmit:
			req, _ = http.NewRequest(http.MethodPost, base+"/api/jobs", bytes.NewReader(x.Body))
		case wire.RequestStatus:
			req, _ = http.NewRequest(http.MethodGet, base+"/api/jobs/"+x.JobID, nil)
		case wire.RequestCancel:
			req, _ = http.NewRequest(http.MethodPost, base+"/api/jobs/"+x.JobID+"/withdraw", nil)
		}
	}
	go func() {
		r := core.Reply{}
		if resp, err := loopback.client.Do(req); err == nil {
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil {
				r = decodeReply(in, resp.StatusCode, body)
			}
		}
		loopback.post(func() { reply(r) })
	}()
}

// decodeReply reads an answer as the models expect it.
func decodeReply(in core.Input, status int, body []byte) core.Reply {
	reply := core.Reply{Status: status, Body: body}
	if _, report := in.(core.WorkerReported); !report {
		return reply
	}
	var err error
	switch status {
	case http.StatusOK:
		var answer wire.HeartbeatReply
		err = wire.Decode(body, &answer)
		reply.Body = answer
	case http.StatusMisdirectedRequest:
		var answer wire.Redirect
		err = wire.Decode(body, &answer)
		reply.Body = answer
	}
	if err != nil {
		return core.Reply{}
	}
	return reply
}

// serveWorker gives a worker an address of its own, at which it takes orders.
func (loopback *Loopback) serveWorker(worker *simWorker) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		var orders wire.CommandBatch
		if err != nil || wire.Decode(body, &orders) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		result := make(chan core.Outcome, 1)
		loopback.post(func() { worker.acceptCommands(orders, nil, func(outcome core.Outcome) { result <- outcome }) })
		select {
		case outcome := <-result:
			if outcome != core.OK {
				w.WriteHeader(http.StatusConflict)
			}
		case <-time.After(4 * time.Second):
		}
	})
	return loopback.serve(mux)
}
