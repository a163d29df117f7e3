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

func server(t *testing.T, reply core.Reply, served bool) (*httptest.Server, *[]core.UserRequest) {
	t.Helper()
	var asked []core.UserRequest
	r := httprouter.New()
	Routes(r, func(input func(uint64) core.Input) (core.Reply, bool) {
		asked = append(asked, input(1).(core.UserRequest))
		return reply, served
	}, func() bool { return true })
	srv := httptest.NewServer(r)
	t.Cleanup(srv.Close)
	return srv, &asked
}

func do(t *testing.T, method, url string, body []byte) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func TestRoutes(t *testing.T) {
	srv, asked := server(t, core.Reply{Status: 201, Body: wire.JobStatus{JobID: "wk-1", Status: "pending"}}, true)
	if r := do(t, "POST", srv.URL+"/api/jobs", []byte{0x80}); r.StatusCode != 201 {
		t.Errorf("submit: %d", r.StatusCode)
	}
	do(t, "GET", srv.URL+"/api/jobs/wk-1", nil)
	do(t, "POST", srv.URL+"/api/jobs/wk-1/withdraw", nil)
	want := []wire.RequestKind{wire.RequestSubmit, wire.RequestStatus, wire.RequestCancel}
	for i, u := range *asked {
		if u.Kind != want[i] || (i > 0 && u.JobID != "wk-1") {
			t.Errorf("request %d is %+v", i, u)
		}
	}
	if len(*asked) != 3 {
		t.Errorf("%d requests reached the core", len(*asked))
	}
	if r := do(t, "GET", srv.URL+"/ready", nil); r.StatusCode != 200 {
		t.Errorf("ready: %d", r.StatusCode)
	}
}

// Bad input never reaches the core.
func TestBadInput(t *testing.T) {
	srv, asked := server(t, core.Reply{Status: 200}, true)
	for _, c := range []struct {
		method, path string
		size, want   int
	}{
		{"POST", "/api/jobs", MaxBody + 1, 400}, {"GET", "/nowhere", 0, 404}, {"DELETE", "/api/jobs", 0, 405},
		{"PUT", "/api/jobs/wk-1/withdraw", 0, 405}, {"GET", "/api/jobs/wk-1/other", 0, 404},
	} {
		if r := do(t, c.method, srv.URL+c.path, make([]byte, c.size)); r.StatusCode != c.want {
			t.Errorf("%s %s: %d", c.method, c.path, r.StatusCode)
		}
	}
	if len(*asked) != 0 {
		t.Errorf("the core was asked %+v", *asked)
	}
}

func TestOverloadSaysWhenToComeBack(t *testing.T) {
	srv, _ := server(t, core.Reply{}, false)
	r := do(t, "POST", srv.URL+"/api/jobs", []byte{0x80})
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
	}
}
