// Package worker is the adapter to the workers, the agents on the machines, by MessagePack over
// HTTP. It receives their heartbeats (POST /v1/report), whose replies contain commands, and
// sends commands directly to workers (POST /orders).
package worker

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"micaport/internal/api"
	"micaport/internal/core"
	"micaport/internal/wire"
)

// RegisterRoutes adds the route for heartbeats, which are passed to dispatch.
func RegisterRoutes(router *httprouter.Router, dispatch api.Dispatch) {
	router.POST("/v1/report", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		body, ok := api.ReadBody(w, r)
		if !ok {
			return
		}
		heartbeat := new(wire.WorkerHeartbeat)
		if err := wire.Decode(body, heartbeat); err != nil || heartbeat.Machine == "" || heartbeat.Epoch == 0 {
			api.WriteError(w, http.StatusBadRequest, "malformed report")
			return
		}
		reply, ok := dispatch(func(requestID uint64) core.Input {
			return core.WorkerReported{RequestID: requestID, Heartbeat: heartbeat}
		})
		if !ok {
			api.WriteError(w, http.StatusServiceUnavailable, api.OverloadedText)
			return
		}
		api.WriteReply(w, reply)
	})
}
