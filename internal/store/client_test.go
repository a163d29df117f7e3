package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"micaport/internal/core"
)

// newTestClient returns a client of a state service that is simulated by the handler, and the
// inputs that the client delivers.
func newTestClient(t *testing.T, handler http.HandlerFunc) (*Client, <-chan core.Input) {
	t.Helper()
	inputs := make(chan core.Input, 100)
	return New(startService(t, handler), 3, 1000, func(input core.Input) { inputs <- input }), inputs
}

// startService runs an HTTP server with the handler until the test ends, and returns the
// server's address.
func startService(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// object is a MessagePack map, the form of all requests and responses of the state service.
type object = map[string]any

// next returns the next input, which must be of type T.
func next[T any](t *testing.T, inputs <-chan core.Input) T {
	t.Helper()
	select {
	case input := <-inputs:
		typed, ok := input.(T)
		if !ok {
			t.Fatalf("got input %T %+v", input, input)
		}
		return typed
	case <-time.After(10 * time.Second):
		t.Fatal("no input within 10 s")
		panic("unreachable")
	}
}
