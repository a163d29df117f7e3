package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connLimiter keeps the open connections below a number by closing idle ones.
type connLimiter struct {
	mu     sync.Mutex
	limit  int
	open   int
	idle   *list.List // connections, the one that has been idle longest first
	byConn map[net.Conn]*list.Element
}

func newConnLimiter(most int) *connLimiter {
	return &connLimiter{limit: most, idle: list.New(), byConn: map[net.Conn]*list.Element{}}
}

// stateChanged is told by the server of every change of a connection.
func (c *connLimiter) stateChanged(conn net.Conn, s http.ConnState) {
	if old := c.track(conn, s); old != nil {
		old.Close()
	}
}

// track takes the new state and names a connection to be closed, or nil.
func (c *connLimiter) track(conn net.Conn, s http.ConnState) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byConn[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.byConn, conn)
	}
	switch s {
	case http.StateNew:
		c.open++
		if first := c.idle.Front(); c.open > c.limit && first != nil {
			old := first.Value.(net.Conn)
			c.idle.Remove(first)
			delete(c.byConn, old)
			return old
		}
	case http.StateIdle:
		c.byConn[conn] = c.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	return nil
}
