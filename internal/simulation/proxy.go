package simulation

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkState is what a proxy does to a link.
type linkState int

// States of a link.
const (
	linkUp      linkState = iota
	linkHeld              // bytes wait until the link is up again, and connections hang
	linkRefused           // connections are reset, and new ones refused at once
)

// proxy is the way from one process to another on loopback. It can be cut in either
// direction, delayed, or made to refuse.
type proxy struct {
	listener net.Listener
	target   string

	relayedBytes atomic.Int64 // bytes, both ways

	mu          sync.Mutex
	changed     chan struct{} // closed when the state changes
	forward     linkState     // towards the target
	backward    linkState
	delay       time.Duration
	connections map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), connections: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes what is done to each direction.
func (p *proxy) set(forth, back linkState, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forward, p.backward, p.delay = forth, back, delay
	close(p.changed)
	p.changed = make(chan struct{})
	if forth == linkRefused || back == linkRefused {
		for c := range p.connections {
			c.Close()
		}
	}
}

// state gives the state of a direction and a channel that tells when it changes.
func (p *proxy) state(forth bool) (linkState, time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if forth {
		return p.forward, p.delay, p.changed
	}
	return p.backward, p.delay, p.changed
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if state, _, _ := p.state(true); state == linkRefused {
			in.Close()
			continue
		}
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		in.Close()
		return
	}
	p.mu.Lock()
	p.connections[in], p.connections[out] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.relay(out, in, true); done <- struct{}{} }()
	go func() { p.relay(in, out, false); done <- struct{}{} }()
	<-done
	in.Close()
	out.Close()
	p.mu.Lock()
	delete(p.connections, in)
	delete(p.connections, out)
	p.mu.Unlock()
}

// relay carries bytes one way for as long as the link lets them pass.
func (p *proxy) relay(to, from net.Conn, forth bool) {
	buf := make([]byte, 16<<10)
	for {
		k, err := from.Read(buf)
		if err != nil {
			return
		}
		state, delay, changed := p.state(forth)
		for state == linkHeld {
			<-changed
			state, delay, changed = p.state(forth)
		}
		if state == linkRefused {
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		p.relayedBytes.Add(int64(k))
		if _, err := to.Write(buf[:k]); err != nil {
			return
		}
	}
}
