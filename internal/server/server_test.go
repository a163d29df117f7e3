package server

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"micaport/internal/config"
)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newTestSettings returns the settings of a controller whose peer, cloud and state service
// can't be reached.
func newTestSettings(t *testing.T) *config.Settings {
	t.Helper()
	settings := &config.Settings{Label: "n0", Zone: "a", Bind: freeAddress(t), ClusterBind: freeAddress(t)}
	settings.Peers = []config.Peer{{Label: "n1", Zone: "a", Address: freeAddress(t)}}
	settings.External = config.ExternalServices{Cloud: freeAddress(t), State: freeAddress(t)}
	settings.Deployment.Zones = []string{"a"}
	settings.Deployment.Workers = config.WorkerTimes{ReportS: 3, LeaseS: 30, GangWaitS: 35, GangPeerS: 8, CancelS: 55}
	settings.Deployment.State = config.StateSettings{RPS: 250, WriteRPS: 20, ValueKB: 8, TxnOps: 12}
	settings.Deployment.Cloud = config.CloudSettings{RPS: 2, ListLagS: 4}
	if err := settings.Validate(); err != nil {
		t.Fatal(err)
	}
	return settings
}

// startController runs a controller and returns a channel that receives the result of Run.
func startController(ctx context.Context, settings *config.Settings) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, settings, config.DefaultOperator(), slog.New(slog.DiscardHandler)) }()
	return ended
}

// waitUntilServing waits until a controller answers /ready, and returns the status.
func waitUntilServing(t *testing.T, settings *config.Settings) int {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		response, err := http.Get("http://" + settings.Bind + "/ready")
		if err == nil {
			response.Body.Close()
			return response.StatusCode
		}
		if time.Now().After(deadline) {
			t.Fatalf("the controller does not serve: %v", err)
		}
	}
}

// A controller serves until its context ends, and then stops even if its peer and the services
// can't be reached.
func TestRunEndsWithItsContext(t *testing.T) {
	settings := newTestSettings(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := startController(ctx, settings)
	if status := waitUntilServing(t, settings); status != http.StatusServiceUnavailable {
		t.Errorf("/ready without a state service: status %d, want 503", status)
	}
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("Run returned %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("Run has not returned within 10 s of the end of its context")
	}
	listener, err := net.Listen("tcp", settings.ClusterBind)
	if err != nil {
		t.Fatalf("the listener for peers is still open: %v", err)
	}
	listener.Close()
}

// When an address is already in use, Run fails with an error that names the setting.
func TestErrorNamesSettingOfAddressInUse(t *testing.T) {
	for _, test := range []struct {
		name    string
		address func(*config.Settings) string
	}{
		{"bind", func(s *config.Settings) string { return s.Bind }},
		{"cluster_listen", func(s *config.Settings) string { return s.ClusterBind }},
	} {
		settings := newTestSettings(t)
		listener, err := net.Listen("tcp", test.address(settings))
		if err != nil {
			t.Fatal(err)
		}
		if err := <-startController(t.Context(), settings); err == nil || !strings.HasPrefix(err.Error(), test.name+": ") {
			t.Errorf("address of %s in use: got %v", test.name, err)
		}
		listener.Close()
	}
}

// Guards against a body of a few bytes from a user or a worker that ends the controller, as it states
// a list or map that would take more memory than the machine has.
func TestBodiesThatStateLongLists(t *testing.T) {
	settings := newTestSettings(t)
	startController(t.Context(), settings)
	waitUntilServing(t, settings)
	const maxBytes = 16 << 20 // a lean deployment's controllers have 81 MB
	for name, body := range map[string]string{
		"a map":                  "\xdf\x01\x00\x00\x00",
		"a list in a submission": "\x82\xa3ref\xa9wk-000500\xa4rigs\xdd\x01\x00\x00\x00",
		"a list in a report":     "\x83\xa4host\xa4vm-1\xa5shift\x01\xa6frames\xdd\x01\x00\x00\x00",
	} {
		for _, path := range []string{"/api/jobs", "/v1/report"} {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := http.Post("http://"+settings.Bind+path, "application/msgpack", strings.NewReader(body))
			if err != nil {
				t.Fatalf("%s to %s: %v", name, path, err)
			}
			response.Body.Close()
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; response.StatusCode != http.StatusBadRequest || allocated > maxBytes {
				t.Errorf("%s to %s: status %d, %d bytes allocated, want 400 and at most %d", name, path, response.StatusCode, allocated, maxBytes)
			}
		}
	}
}
