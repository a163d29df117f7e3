//go:build review

package standin

import (
	"net"
	"sync"
	"time"
)

// Proxy relays TCP connections on loopback. It can hold both directions back, or reset
// connections.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	held    bool
	refused bool
	change  chan struct{}
	open    map[net.Conn]bool
}

// NewProxy starts a proxy to an address.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, change: make(chan struct{}), open: map[net.Conn]bool{}}
	go func() { // ends with the listener
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(in)
		}
	}()
	return p, nil
}

// Address returns the proxy's address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Set(false, true)
}

// Set holds bytes back, or resets connections and refuses new ones.
func (p *Proxy) Set(held, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held, p.refused = held, refused
	close(p.change)
	p.change = make(chan struct{})
	if refused {
		for conn := range p.open {
			conn.Close()
		}
	}
}

func (p *Proxy) wait() (refused bool) {
	for {
		p.mu.Lock()
		held, refused, change := p.held, p.refused, p.change
		p.mu.Unlock()
		if !held || refused {
			return refused
		}
		<-change
	}
}

func (p *Proxy) serve(in net.Conn) {
	defer in.Close()
	if p.wait() {
		return
	}
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	p.mu.Lock()
	p.open[in], p.open[out] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	relay := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 16<<10)
		for {
			n, err := from.Read(buffer)
			if p.wait() {
				return
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go relay(out, in)
	go relay(in, out)
	<-done
	p.mu.Lock()
	delete(p.open, in)
	delete(p.open, out)
	p.mu.Unlock()
}
