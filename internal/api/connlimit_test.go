package api

import (
	"net"
	"net/http"
	"testing"
)

// Near the limit of sockets the connection that has been idle longest makes
// way, never one that is being served.
func TestLongestIdleMakesWay(t *testing.T) {
	c := newConnLimiter(3)
	conns := make([]net.Conn, 6)
	for i := range conns {
		conns[i], _ = net.Pipe()
	}
	expect := func(i int, s http.ConnState, want net.Conn) {
		t.Helper()
		if got := c.track(conns[i], s); got != want {
			t.Errorf("connection %d, %v: closes %v, want %v", i, s, got, want)
		}
	}
	for i := range 3 {
		expect(i, http.StateNew, nil)
		expect(i, http.StateActive, nil)
	}
	expect(1, http.StateIdle, nil)
	expect(0, http.StateIdle, nil)
	expect(1, http.StateActive, nil) // 1 is served again, so 0 has been idle longest
	expect(3, http.StateNew, conns[0])
	expect(0, http.StateClosed, nil)
	expect(4, http.StateNew, nil) // nobody is idle
	expect(1, http.StateIdle, nil)
	expect(5, http.StateNew, conns[1])
	if c.open != 5 || c.idle.Len() != 0 || len(c.byConn) != 0 {
		t.Errorf("%d open, %d idle", c.open, c.idle.Len())
	}
}
