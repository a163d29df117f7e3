package msgpackhttp

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"micaport/internal/wire"
)

// serve runs an HTTP server with the handler until the test ends, and returns its URL.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// Do sends the body as MessagePack, and reads the response up to the limit.
func TestExchange(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		var received wire.Error
		if body, err := io.ReadAll(r.Body); err != nil || wire.Decode(body, &received) != nil {
			t.Errorf("received %x, %v", body, err)
		}
		Respond(w, http.StatusConflict, wire.Error{Error: received.Error + " back"})
	})
	request := Request{Method: http.MethodPost, URL: address, Body: wire.Error{Error: "there"}, MaxResponseBytes: 100}
	response, err := Do(t.Context(), http.DefaultClient, request)
	if err != nil || response.Status != http.StatusConflict {
		t.Fatalf("got %+v, %v", response, err)
	}
	var answer wire.Error
	if err := response.Decode(&answer); err != nil || answer.Error != "there back" {
		t.Errorf("got %+v, %v", answer, err)
	}
	request.MaxResponseBytes = 3
	response, err = Do(t.Context(), http.DefaultClient, request)
	if err != nil || len(response.Body) != 3 {
		t.Errorf("with a limit of 3 bytes: got %d bytes, %v", len(response.Body), err)
	}
	if err := response.Decode(&answer); err == nil {
		t.Error("a truncated body was decoded")
	}
}

// The errors of Do distinguish requests that were not sent from those that may have been
// processed.
func TestErrors(t *testing.T) {
	broken := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		w.WriteHeader(http.StatusOK)
		w.Write([]byte("short"))
	})
	dropped := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		connection.Close()
	})
	for _, test := range []struct {
		name    string
		request Request
		notSent bool
		isURL   bool
		status  int
	}{
		{"body that can't be encoded", Request{URL: dropped, Body: make(chan int)}, true, false, 0},
		{"URL that can't be parsed", Request{URL: "http://%"}, true, true, 0},
		{"no response", Request{URL: dropped}, false, true, 0},
		{"response that breaks off", Request{URL: broken, MaxResponseBytes: 100}, false, false, http.StatusOK},
	} {
		test.request.Method = http.MethodPost
		response, err := Do(t.Context(), http.DefaultClient, test.request)
		if err == nil {
			t.Errorf("%s: no error", test.name)
			continue
		}
		var urlError *url.Error
		if errors.Is(err, ErrNotSent) != test.notSent || errors.As(err, &urlError) != test.isURL || response.Status != test.status {
			t.Errorf("%s: got %+v, %v", test.name, response, err)
		}
	}
}

// Respond encodes a body, sends an encoded one unchanged, and responds with status 500 if the
// body can't be encoded.
func TestRespond(t *testing.T) {
	encoded, err := wire.Encode(wire.Error{Error: "x"})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name   string
		body   any
		status int
		want   string
	}{
		{"value", wire.Error{Error: "x"}, http.StatusAccepted, string(encoded)},
		{"encoded value", encoded, http.StatusAccepted, string(encoded)},
		{"value that can't be encoded", make(chan int), http.StatusInternalServerError, ""},
	} {
		recorder := httptest.NewRecorder()
		Respond(recorder, http.StatusAccepted, test.body)
		if recorder.Code != test.status || recorder.Body.String() != test.want {
			t.Errorf("%s: status %d, body %x; want %d, %x", test.name, recorder.Code, recorder.Body, test.status, test.want)
		}
		if got := recorder.Header().Get("Content-Type"); (got == contentType) != (test.status == http.StatusAccepted) {
			t.Errorf("%s: content type %q", test.name, got)
		}
	}
}
