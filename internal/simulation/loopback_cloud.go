package simulation

import (
	"net/http"

	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// cloudHandler serves the cloud's protocol to a controller.
func (l *Loopback) cloudHandler(ctrl *controller) http.Handler {
	mux := http.NewServeMux()
	respond := func(w http.ResponseWriter, call core.CallCloud) {
		reply, ok := postAndWait(l, func() serviceReply { return l.callCloud(ctrl, call) })
		if !ok {
			reply = unavailable
		}
		reply.write(w)
	}
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) { respond(w, core.CallCloud{ListTypes: true}) })
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { respond(w, core.CallCloud{ListMachines: true}) })
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, request *http.Request) {
		var provision wire.ProvisionRequest
		if readRequest(w, request, &provision) {
			respond(w, core.CallCloud{Provision: &provision})
		}
	})
	mux.HandleFunc("POST /hosts/return", func(w http.ResponseWriter, request *http.Request) {
		var machines wire.MachineNames
		if readRequest(w, request, &machines) {
			respond(w, core.CallCloud{Deprovision: machines.Names})
		}
	})
	return mux
}

// callCloud carries out a controller's call to the cloud and returns the reply.
func (l *Loopback) callCloud(ctrl *controller, call core.CallCloud) serviceReply {
	l.leadership.checkCloudCall(ctrl, call)
	if l.cloud.outage {
		return unavailable
	}
	result := l.cloud.call(call)
	switch {
	case result.Outcome == kv.NoCapacity:
		return serviceReply{http.StatusServiceUnavailable, wire.Error{Error: "no capacity"}}
	case result.Outcome != kv.OK:
		return unavailable
	case call.ListTypes:
		return serviceReply{http.StatusOK, wire.MachineTypeList{MachineTypes: result.MachineTypes}}
	case call.ListMachines:
		return serviceReply{http.StatusOK, wire.MachineList{Machines: result.Machines}}
	}
	return serviceReply{http.StatusOK, wire.MachineNames{Names: result.Names}}
}
