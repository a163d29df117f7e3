package simulation

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Loopback runs real controllers: processes of the built program, which reach the models
// of this package over the protocols on 127.0.0.1, through a proxy on every link. The
// models, and the rules that they check, are those of the simulated world; its clock runs
// in step with the real one, and all of it is played by one goroutine.
type Loopback struct {
	*Simulation
	dir       string
	binary    string
	startedAt time.Time
	injected  chan func()
	client    *http.Client

	operatorFile string // operators' settings, or ""
	processes    []*process
	servers      []*http.Server
	mu           sync.Mutex
	closed       bool
}

// NewLoopback starts the services and the controllers. Binary is the built program, dir
// a directory for its settings and logs, and operator the operators' settings.
func NewLoopback(s Settings, binary, dir, operator string, trace func(string, ...any)) (*Loopback, error) {
	loopback := &Loopback{
		dir: dir, binary: binary, operatorFile: operator, startedAt: time.Now(), injected: make(chan func(), 1024),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}, Timeout: 6 * time.Second},
	}
	s.startController = loopback.startProcess
	s.sendRequest = loopback.sendRequest
	s.serveWorker = loopback.serveWorker
	loopback.processes = make([]*process, len(s.ControllerZones))
	for i := range loopback.processes {
		proc, err := reserveAddresses(s.Seed, i)
		if err != nil {
			return nil, err
		}
		loopback.processes[i] = proc
	}
	loopback.Simulation = newSimulation(s, trace)
	for i := range loopback.processes {
		if err := loopback.connect(i); err != nil {
			return nil, err
		}
	}
	loopback.Simulation.start()
	return loopback, nil
}

// Play runs the world in step with the clock until a time, or until a rule is broken.
func (loopback *Loopback) Play(until time.Duration) {
	for len(loopback.rules.violations) == 0 {
		now := time.Since(loopback.startedAt)
		if now >= until {
			return
		}
		next := until
		if len(loopback.queue) > 0 {
			next = min(next, loopback.queue[0].at)
		}
		if next <= now {
			loopback.Run(now)
			continue
		}
		select {
		case f := <-loopback.injected:
			loopback.now = max(loopback.now, time.Since(loopback.startedAt))
			f()
		case <-time.After(next - now):
		}
	}
}

// post has the world's goroutine run a function.
func (loopback *Loopback) post(f func()) {
	loopback.mu.Lock()
	closed := loopback.closed
	loopback.mu.Unlock()
	if !closed {
		loopback.injected <- f
	}
}

// postAndWait is do, and waits for it.
func (loopback *Loopback) postAndWait(f func()) {
	done := make(chan struct{})
	loopback.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

// Close ends all controllers and servers.
func (loopback *Loopback) Close() {
	loopback.mu.Lock()
	loopback.closed = true
	loopback.mu.Unlock()
	for i, proc := range loopback.processes {
		loopback.signal(i, syscall.SIGKILL)
		for _, link := range proc.peerProxies {
			link.listener.Close()
		}
		for _, link := range []*proxy{proc.frontProxy, proc.stateProxy, proc.cloudProxy} {
			link.listener.Close()
		}
		proc.logFile.Close()
	}
	for _, s := range loopback.servers {
		s.Close()
	}
	for {
		select {
		case <-loopback.injected: // those who wait give up by themselves
		default:
			return
		}
	}
}

// serve starts a server on a port of its own and gives its address.
func (loopback *Loopback) serve(h http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &http.Server{Handler: h}
	loopback.mu.Lock()
	loopback.servers = append(loopback.servers, s)
	loopback.mu.Unlock()
	go func() { _ = s.Serve(listener) }()
	return listener.Addr().String()
}
