package api

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/julienschmidt/httprouter"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// newTestServer serves the routes with a simulated core, which answers every request with the
// reply if replies is true, and otherwise does not reply. It returns the server and the requests
// that the core has received.
func newTestServer(t *testing.T, reply core.Reply, replies bool) (*httptest.Server, *[]core.UserRequest) {
	t.Helper()
	var received []core.UserRequest
	router := httprouter.New()
	RegisterRoutes(router, func(newInput func(uint64) core.Input) (core.Reply, bool) {
		received = append(received, newInput(1).(core.UserRequest))
		return reply, replies
	}, func() bool { return true })
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return server, &received
}

// send sends a request and returns the response, whose body is closed when the test ends.
func send(t *testing.T, method, url string, body []byte) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func TestRoutes(t *testing.T) {
	server, received := newTestServer(t, core.Reply{Status: http.StatusCreated, Body: wire.JobStatus{JobID: "wk-1", Status: "pending"}}, true)
	if response := send(t, http.MethodPost, server.URL+"/api/jobs", []byte{0x80}); response.StatusCode != http.StatusCreated {
		t.Errorf("submit: %d", response.StatusCode)
	}
	send(t, http.MethodGet, server.URL+"/api/jobs/wk-1", nil)
	send(t, http.MethodPost, server.URL+"/api/jobs/wk-1/withdraw", nil)
	want := []wire.RequestKind{wire.RequestSubmit, wire.RequestStatus, wire.RequestCancel}
	for i, request := range *received {
		if request.Kind != want[i] || (i > 0 && request.JobID != "wk-1") {
			t.Errorf("request %d is %+v", i, request)
		}
	}
	if len(*received) != 3 {
		t.Errorf("%d requests reached the core", len(*received))
	}
	if response := send(t, http.MethodGet, server.URL+"/ready", nil); response.StatusCode != http.StatusOK {
		t.Errorf("ready: %d", response.StatusCode)
	}
}

// Invalid requests never reach the core.
func TestInvalidRequests(t *testing.T) {
	server, received := newTestServer(t, core.Reply{Status: http.StatusOK}, true)
	for _, test := range []struct {
		method, path string
		size, want   int
	}{
		{http.MethodPost, "/api/jobs", MaxBodyBytes + 1, http.StatusBadRequest},
		{http.MethodGet, "/nowhere", 0, http.StatusNotFound},
		{http.MethodDelete, "/api/jobs", 0, http.StatusMethodNotAllowed},
		{http.MethodPut, "/api/jobs/wk-1/withdraw", 0, http.StatusMethodNotAllowed},
		{http.MethodGet, "/api/jobs/wk-1/other", 0, http.StatusNotFound},
	} {
		if response := send(t, test.method, server.URL+test.path, make([]byte, test.size)); response.StatusCode != test.want {
			t.Errorf("%s %s: status %d, want %d", test.method, test.path, response.StatusCode, test.want)
		}
	}
	if len(*received) != 0 {
		t.Errorf("the core received %+v", *received)
	}
}

// The response to a request that the core could not accept has a Retry-After header.
func TestOverloadResponseHasRetryAfter(t *testing.T) {
	server, _ := newTestServer(t, core.Reply{}, false)
	response := send(t, http.MethodPost, server.URL+"/api/jobs", []byte{0x80})
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
	}
}
