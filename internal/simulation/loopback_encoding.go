package simulation

import (
	"io"
	"net/http"

	"micaport/internal/wire"
)

// serviceReply is the reply of a service: a status code and a body to encode as MessagePack.
type serviceReply struct {
	status int
	body   any
}

// unavailable is the reply of a service that has an outage, refuses the controller or is too
// slow.
var unavailable = serviceReply{http.StatusServiceUnavailable, wire.Error{Error: "trouble"}}

// write writes the reply to the connection.
func (r serviceReply) write(w http.ResponseWriter) {
	raw, err := wire.Encode(r.body)
	must(err)
	w.WriteHeader(r.status)
	_, _ = w.Write(raw) // the controller may have ended
}

// readRequest decodes a request's body. If that fails, it replies with status 400 and reports
// false.
func readRequest(w http.ResponseWriter, request *http.Request, into any) bool {
	body, err := io.ReadAll(request.Body)
	if err == nil {
		err = wire.Decode(body, into)
	}
	if err != nil {
		serviceReply{http.StatusBadRequest, wire.Error{Error: "malformed"}}.write(w)
	}
	return err == nil
}
