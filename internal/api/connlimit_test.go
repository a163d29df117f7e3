package api

import (
	"net"
	"net/http"
	"testing"
)

// At the limit the connection that has been idle for longest is closed, and never one that is
// in use.
func TestLongestIdleIsClosed(t *testing.T) {
	limiter := newConnLimiter(3)
	conns := make([]net.Conn, 6)
	for i := range conns {
		local, remote := net.Pipe()
		t.Cleanup(func() { local.Close(); remote.Close() })
		conns[i] = local
	}
	expect := func(i int, state http.ConnState, want net.Conn) {
		t.Helper()
		if got := limiter.track(conns[i], state); got != want {
			t.Errorf("connection %d, %v: closes %v, want %v", i, state, got, want)
		}
	}
	for i := range 3 {
		expect(i, http.StateNew, nil)
		expect(i, http.StateActive, nil)
	}
	expect(1, http.StateIdle, nil)
	expect(0, http.StateIdle, nil)
	expect(1, http.StateActive, nil) // 1 is in use again, so 0 has been idle for longest
	expect(3, http.StateNew, conns[0])
	expect(0, http.StateClosed, nil)
	expect(4, http.StateNew, nil) // none is idle
	expect(1, http.StateIdle, nil)
	expect(5, http.StateNew, conns[1])
	if limiter.open != 5 || limiter.idle.Len() != 0 || len(limiter.idleByConn) != 0 {
		t.Errorf("%d open, %d idle", limiter.open, limiter.idle.Len())
	}
}
