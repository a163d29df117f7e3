package api

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// crowd keeps the open connections below a number by closing idle ones.
type crowd struct {
	mu   sync.Mutex
	most int
	open int
	idle *list.List // connections, the one that has been idle longest first
	at   map[net.Conn]*list.Element
}

func newCrowd(most int) *crowd {
	return &crowd{most: most, idle: list.New(), at: map[net.Conn]*list.Element{}}
}

// note is told by the server of every change of a connection.
func (c *crowd) note(conn net.Conn, s http.ConnState) {
	if old := c.change(conn, s); old != nil {
		old.Close()
	}
}

// change takes the new state and names a connection to be closed, or nil.
func (c *crowd) change(conn net.Conn, s http.ConnState) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.at[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.at, conn)
	}
	switch s {
	case http.StateNew:
		c.open++
		if first := c.idle.Front(); c.open > c.most && first != nil {
			old := first.Value.(net.Conn)
			c.idle.Remove(first)
			delete(c.at, old)
			return old
		}
	case http.StateIdle:
		c.at[conn] = c.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	return nil
}
