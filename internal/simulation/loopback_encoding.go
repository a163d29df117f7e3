package simulation

import (
	"io"
	"net/http"

	"micaport/internal/wire"
)

// writeReply writes a MessagePack answer.
func writeReply(w http.ResponseWriter, status int, body any) {
	raw, err := wire.Encode(body)
	must(err)
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the controller may be gone
}

// readRequest decodes a request's body, or answers 400.
func readRequest(w http.ResponseWriter, q *http.Request, into any) bool {
	body, err := io.ReadAll(q.Body)
	if err == nil {
		err = wire.Decode(body, into)
	}
	if err != nil {
		writeReply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
	}
	return err == nil
}
