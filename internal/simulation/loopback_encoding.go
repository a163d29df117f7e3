package simulation

import (
	"io"
	"net/http"

	"micaport/internal/wire"
)

// serviceReply is the answer of a service: a status code and a body for MessagePack.
type serviceReply struct {
	status int
	body   any
}

// unavailable is the answer of a service that is out, refuses a controller or is too slow.
var unavailable = serviceReply{http.StatusServiceUnavailable, wire.Error{Error: "trouble"}}

// write writes the answer.
func (r serviceReply) write(w http.ResponseWriter) {
	raw, err := wire.Encode(r.body)
	must(err)
	w.WriteHeader(r.status)
	_, _ = w.Write(raw) // the controller may be gone
}

// readRequest decodes a request's body. It answers 400 and reports false if it can't.
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
