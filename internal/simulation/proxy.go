package simulation

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkState is how a proxy treats one direction of a link.
type linkState int

// States of a link.
const (
	linkUp      linkState = iota
	linkHeld              // bytes are delayed until the link is up again, and connections hang
	linkRefused           // connections are closed, and new ones are closed immediately
)

// Limits of a proxy.
const (
	proxyDialTimeout = time.Second
	proxyBufferBytes = 16 << 10
)

// proxy is a TCP proxy that acts as the link from one process to another on loopback. Each
// direction can be held or refused. Close ends its goroutines.
type proxy struct {
	listener     net.Listener
	target       string       // the address that connections are relayed to
	relayedBytes atomic.Int64 // in both directions

	mu          sync.Mutex
	changed     chan struct{} // closed and replaced when a state is set
	forward     linkState     // towards the target
	backward    linkState
	connections map[net.Conn]bool
}

// newProxy starts a proxy to a target on a free port.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), connections: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// address returns the address that the proxy listens on.
func (p *proxy) address() string { return p.listener.Addr().String() }

// close stops the proxy and closes its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.setStates(linkRefused, linkRefused)
}

// setStates sets the states of both directions. If either is linkRefused, it closes all
// connections.
func (p *proxy) setStates(forward, backward linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forward, p.backward = forward, backward
	close(p.changed)
	p.changed = make(chan struct{})
	if forward == linkRefused || backward == linkRefused {
		for connection := range p.connections {
			connection.Close()
		}
	}
}

// state returns the state of a direction, and a channel that is closed when the states are
// set again.
func (p *proxy) state(forward bool) (linkState, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if forward {
		return p.forward, p.changed
	}
	return p.backward, p.changed
}

// accept serves connections until the listener is closed.
func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if state, _ := p.state(true); state == linkRefused {
			in.Close()
			continue
		}
		go p.serve(in)
	}
}

// serve connects to the target and relays in both directions until either side closes.
func (p *proxy) serve(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		return
	}
	defer out.Close()
	p.track(in, out)
	defer p.untrack(in, out)
	done := make(chan struct{}, 2)
	go func() { p.relay(out, in, true); done <- struct{}{} }()
	go func() { p.relay(in, out, false); done <- struct{}{} }()
	<-done
}

// track adds connections to those that setStates closes.
func (p *proxy) track(connections ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		p.connections[connection] = true
	}
}

// untrack removes connections that track has added.
func (p *proxy) untrack(connections ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		delete(p.connections, connection)
	}
}

// relay copies bytes in one direction until a connection fails or the link refuses. While
// the link is held, it waits.
func (p *proxy) relay(to, from net.Conn, forward bool) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		state, changed := p.state(forward)
		for state == linkHeld {
			<-changed
			state, changed = p.state(forward)
		}
		if state == linkRefused {
			return
		}
		p.relayedBytes.Add(int64(n))
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
