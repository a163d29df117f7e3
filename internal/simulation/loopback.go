package simulation

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Loopback runs real controllers: processes of the built program, which reach the models of
// this package over their network protocols on 127.0.0.1, through a proxy on every link. The
// models and rules are those of Simulation, whose clock follows the real one. They run on the
// goroutine that calls NewLoopback, RunInRealTime and Close; other goroutines use post to run
// a function there.
type Loopback struct {
	*Simulation
	dir          string // directory for the processes' settings and logs
	binary       string
	operatorFile string // file with the operators' settings; "": none
	startedAt    time.Time
	client       *http.Client
	processes    []*process // by index of the controller
	servers      []*http.Server

	postQueue chan func()     // functions that the simulation's goroutine is to run
	ctx       context.Context // done when Close is called
	cancel    context.CancelFunc
}

// Limits of a Loopback.
const (
	postQueueCapacity  = 1024
	maxIdleConnections = 4096            // idle connections that workers and users keep open to a controller
	clientTimeout      = 6 * time.Second // for a controller's reply to a worker or user
	postTimeout        = 5 * time.Second // for the simulation's goroutine to run a function
)

// NewLoopback starts the services and the controllers. Binary is the built program, dir a
// directory for its settings and logs, and operatorFile the file with the operators' settings
// or "". Unless NewLoopback fails, its caller must call Close.
func NewLoopback(settings Settings, binary, dir, operatorFile string, logf func(format string, args ...any)) (*Loopback, error) {
	ctx, cancel := context.WithCancel(context.Background())
	loopback := &Loopback{
		dir: dir, binary: binary, operatorFile: operatorFile, startedAt: time.Now(),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}, Timeout: clientTimeout},
		postQueue: make(chan func(), postQueueCapacity), ctx: ctx, cancel: cancel,
	}
	settings.startController = loopback.startProcess
	settings.sendRequest = loopback.sendRequest
	settings.serveWorker = loopback.serveWorker
	loopback.Simulation = newSimulation(settings, logf)
	if err := loopback.setUpProcesses(); err != nil {
		loopback.Close()
		return nil, err
	}
	loopback.start()
	return loopback, nil
}

// setUpProcesses reserves the addresses of all controllers, creates their links and writes
// their settings.
func (l *Loopback) setUpProcesses() error {
	for _, ctrl := range l.controllers {
		proc, err := reserveAddresses(l.Seed, ctrl.index)
		if err != nil {
			return fmt.Errorf("reserve addresses of %s: %w", ctrl.label, err)
		}
		l.processes = append(l.processes, proc)
	}
	for _, ctrl := range l.controllers {
		if err := l.setUpProcess(ctrl); err != nil {
			return fmt.Errorf("set up links of %s: %w", ctrl.label, err)
		}
	}
	return nil
}

// RunInRealTime runs the simulation in step with the real clock until the given time, or
// until a rule is violated.
func (l *Loopback) RunInRealTime(until time.Duration) {
	for len(l.rules.violations) == 0 {
		now := time.Since(l.startedAt)
		if now >= until {
			return
		}
		next := until
		if len(l.queue) > 0 {
			next = min(next, l.queue[0].at)
		}
		if next <= now {
			l.Run(now)
			continue
		}
		select {
		case run := <-l.postQueue:
			l.now = max(l.now, time.Since(l.startedAt))
			run()
		case <-time.After(next - now):
		}
	}
}

// post makes the simulation's goroutine run a function. The function may not run if Close is
// called.
func (l *Loopback) post(run func()) {
	select {
	case <-l.ctx.Done():
	case l.postQueue <- run:
	}
}

// postAndWait makes the simulation's goroutine run a function and returns its result. It
// reports false if that takes longer than postTimeout.
func postAndWait[T any](loopback *Loopback, run func() T) (result T, ok bool) {
	results := make(chan T, 1)
	loopback.post(func() { results <- run() })
	select {
	case result = <-results:
		return result, true
	case <-time.After(postTimeout):
		return result, false
	}
}

// Close kills all processes and closes all links and servers.
func (l *Loopback) Close() {
	l.cancel()
	for i, proc := range l.processes {
		l.signal(l.controllers[i], syscall.SIGKILL)
		proc.close()
	}
	for _, server := range l.servers {
		server.Close()
	}
	l.client.CloseIdleConnections()
}

// serve starts a server on a free port and returns its address. The server runs until Close.
func (l *Loopback) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	l.servers = append(l.servers, server)
	go func() { _ = server.Serve(listener) }() // until Close
	return listener.Addr().String(), nil
}
