package simulation

import (
	"net/http"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// cloudHandler serves the cloud to one controller.
func (loopback *Loopback) cloudHandler(ctrl *controller) http.Handler {
	mux := http.NewServeMux()
	call := func(w http.ResponseWriter, q core.CallCloud) {
		var r core.CloudAnswered
		loopback.postAndWait(func() {
			loopback.leadership.checkCloudCall(ctrl, q)
			r = core.CloudAnswered{Outcome: core.Refused}
			if !loopback.cloud.outage {
				r = loopback.cloud.call(q)
			}
		})
		switch {
		case r.Outcome == core.NoCapacity:
			writeReply(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		case r.Outcome != core.OK:
			writeReply(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
		case q.ListTypes:
			writeReply(w, http.StatusOK, wire.MachineTypeList{MachineTypes: r.MachineTypes})
		case q.ListMachines:
			writeReply(w, http.StatusOK, wire.MachineList{Machines: r.Machines})
		default:
			writeReply(w, http.StatusOK, wire.MachineNames{Names: r.Names})
		}
	}
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) { call(w, core.CallCloud{ListTypes: true}) })
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { call(w, core.CallCloud{ListMachines: true}) })
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, q *http.Request) {
		var hire wire.ProvisionRequest
		if readRequest(w, q, &hire) {
			call(w, core.CallCloud{Provision: &hire})
		}
	})
	mux.HandleFunc("POST /hosts/return", func(w http.ResponseWriter, q *http.Request) {
		var names wire.MachineNames
		if readRequest(w, q, &names) {
			call(w, core.CallCloud{Deprovision: names.Names})
		}
	})
	return mux
}
