package simulation

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkState is what a proxy does to one direction of a link.
type linkState int

// States of a link.
const (
	linkUp      linkState = iota
	linkHeld              // bytes wait until the link is up again, and connections hang
	linkRefused           // connections are reset, and new ones refused at once
)

// Sizes and times of a proxy.
const (
	proxyDialTimeout = time.Second
	proxyBufferBytes = 16 << 10
)

// proxy is the link from one process to another on loopback. It can be cut in either
// direction, or made to refuse. Its goroutines end with close.
type proxy struct {
	listener     net.Listener
	target       string       // the address that it leads to
	relayedBytes atomic.Int64 // both ways

	mu          sync.Mutex
	changed     chan struct{} // closed when a state changes
	forward     linkState     // towards the target
	backward    linkState
	connections map[net.Conn]bool
}

// newProxy starts a proxy to a target at an address of its own.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), connections: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// address returns the address that the proxy listens at.
func (p *proxy) address() string { return p.listener.Addr().String() }

// close ends the proxy and its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.set(linkRefused, linkRefused)
}

// set changes the state of both directions.
func (p *proxy) set(forward, backward linkState) {
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

// state returns the state of a direction, and a channel that is closed when it changes.
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

// serve connects to the target and relays both ways until either end closes.
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

// track lets set close connections.
func (p *proxy) track(connections ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		p.connections[connection] = true
	}
}

// untrack is the opposite of track.
func (p *proxy) untrack(connections ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		delete(p.connections, connection)
	}
}

// relay copies bytes one way for as long as the link lets them pass.
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
