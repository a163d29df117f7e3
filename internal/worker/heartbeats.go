// Package worker serves the workers' reports over HTTP.
package worker

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"micaport/internal/api"
	"micaport/internal/core"
	"micaport/internal/wire"
)

// Routes adds the workers' route.
func Routes(r *httprouter.Router, ask api.Ask) {
	r.POST("/v1/report", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		body, ok := api.Body(w, q)
		if !ok {
			return
		}
		rep := new(wire.WorkerHeartbeat)
		if err := wire.Decode(body, rep); err != nil || rep.Machine == "" || rep.Epoch == 0 {
			api.Write(w, core.Reply{Status: 400, Body: wire.Error{Error: "malformed report"}})
			return
		}
		a, ok := ask(func(req uint64) core.Input { return core.WorkerReported{RequestID: req, Heartbeat: rep} })
		if !ok {
			a = core.Reply{Status: 503, Body: wire.Error{Error: "overloaded"}}
		}
		api.Write(w, a)
	})
}
