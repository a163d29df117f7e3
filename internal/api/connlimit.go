package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connLimiter limits the number of open connections by closing idle ones. It never closes
// connections in use, so the limit may be exceeded.
type connLimiter struct {
	limit int

	mu         sync.Mutex // guards the following fields
	open       int
	idle       *list.List // net.Conn values, the longest idle one first
	idleByConn map[net.Conn]*list.Element
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, idle: list.New(), idleByConn: map[net.Conn]*list.Element{}}
}

// stateChanged is the ConnState hook of the HTTP server.
func (l *connLimiter) stateChanged(conn net.Conn, state http.ConnState) {
	if surplus := l.track(conn, state); surplus != nil {
		surplus.Close()
	}
}

// track records the state of a connection. If the connection is new and the limit is exceeded,
// it returns the connection that has been idle for longest, which the caller must close. It
// returns nil if there is none, and in all other cases.
func (l *connLimiter) track(conn net.Conn, state http.ConnState) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(conn)
	switch state {
	case http.StateNew:
		l.open++
		if longestIdle := l.idle.Front(); l.open > l.limit && longestIdle != nil {
			surplus := longestIdle.Value.(net.Conn)
			l.removeIdle(surplus)
			return surplus
		}
	case http.StateIdle:
		l.idleByConn[conn] = l.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		l.open--
	}
	return nil
}

// removeIdle removes a connection from the idle ones, if it is one of them.
func (l *connLimiter) removeIdle(conn net.Conn) {
	if element := l.idleByConn[conn]; element != nil {
		l.idle.Remove(element)
		delete(l.idleByConn, conn)
	}
}
