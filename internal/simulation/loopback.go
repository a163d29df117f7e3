package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/wire"
)

// Loopback runs real controllers: processes of the built program, which reach the models
// of this package over the protocols on 127.0.0.1, through a proxy on every link. The
// models, and the rules that they check, are those of the simulated world; its clock runs
// in step with the real one, and all of it is played by one goroutine.
type Loopback struct {
	*World
	dir    string
	binary string
	began  time.Time
	inject chan func()
	client *http.Client

	operator string // operators' settings, or ""
	procs    []*process
	servers  []*http.Server
	mu       sync.Mutex
	closed   bool
}

// process is a controller's program with its addresses.
type process struct {
	cmd             *exec.Cmd
	settings        string
	public, private string
	front           *proxy // workers and users to the controller
	state, cloud    *proxy
	peers           map[int]*proxy
	log             *os.File
}

// NewLoopback starts the services and the controllers. Binary is the built program, dir
// a directory for its settings and logs, and operator the operators' settings.
func NewLoopback(s Settings, binary, dir, operator string, trace func(string, ...any)) (*Loopback, error) {
	l := &Loopback{
		dir: dir, binary: binary, operator: operator, began: time.Now(), inject: make(chan func(), 1024),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}, Timeout: 6 * time.Second},
	}
	s.launch = l.launch
	s.ask = l.ask
	s.serveWorker = l.serveWorker
	l.procs = make([]*process, len(s.Nodes))
	for i := range l.procs {
		p, err := addresses(s.Seed, i)
		if err != nil {
			return nil, err
		}
		l.procs[i] = p
	}
	l.World = newWorld(s, trace)
	for i := range l.procs {
		if err := l.link(i); err != nil {
			return nil, err
		}
	}
	l.World.begin()
	return l, nil
}

// addresses finds two addresses for a controller. They are at a loopback address of its
// own: everything else listens at 127.0.0.1 and can't take a port while the controller is
// away. Sites with other seeds that are played at the same time have others.
func addresses(seed uint64, i int) (*process, error) {
	p := &process{peers: map[int]*proxy{}}
	var held []net.Listener
	for _, into := range []*string{&p.public, &p.private} {
		free, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", 1+seed%250, i+1))
		if err != nil {
			return nil, err
		}
		*into = free.Addr().String()
		held = append(held, free)
	}
	for _, free := range held {
		free.Close()
	}
	return p, nil
}

// link makes the proxies of a controller and writes its settings.
func (l *Loopback) link(i int) error {
	p, n := l.procs[i], l.nodes[i]
	var err error
	make := func(target string) *proxy {
		var made *proxy
		if err == nil {
			made, err = newProxy(target)
		}
		return made
	}
	p.front = make(p.public)
	p.state = make(l.serve(l.stateHandler(n)))
	p.cloud = make(l.serve(l.cloudHandler(n)))
	for k := range l.procs {
		if k != i {
			p.peers[k] = make(l.procs[k].private)
		}
	}
	if err != nil {
		return err
	}
	raw, err := json.Marshal(l.settings(i))
	if err != nil {
		return err
	}
	p.settings = filepath.Join(l.dir, n.label+".json")
	if p.log, err = os.Create(filepath.Join(l.dir, n.label+".log")); err != nil {
		return err
	}
	return os.WriteFile(p.settings, raw, 0o600)
}

// settings are those of the platform for a controller.
func (l *Loopback) settings(i int) *config.Settings {
	p, n, w := l.procs[i], l.nodes[i], l.World
	s := &config.Settings{Label: n.label, Zone: n.zone, Bind: p.public, ClusterBind: p.private}
	s.External.State, s.External.Cloud = p.state.addr(), p.cloud.addr()
	for k, other := range w.nodes {
		if k != i {
			s.Peers = append(s.Peers, config.Peer{Label: other.label, Zone: other.zone, Address: p.peers[k].addr()})
		}
	}
	d := &s.Deployment
	d.Zones = w.Zones
	for _, t := range w.Teams {
		d.Teams = append(d.Teams, config.Team{Name: t.Name, GuaranteedCores: t.GuaranteedCores, MaxCores: t.MaxCores, GuaranteedGPUs: t.GuaranteedGPUs, MaxGPUs: t.MaxGPUs})
	}
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = w.Report.Seconds(), w.Lease.Seconds(), w.Cancel.Seconds()
	d.Workers.GangWaitS, d.Workers.GangPeerS = w.GangWait.Seconds(), w.GangPeer.Seconds()
	d.State.RPS, d.State.WriteRPS = stateRPS, w.WriteRPS
	d.State.ValueKB, d.State.TxnOps = float64(w.ValueBytes)/1024, w.TxnOps
	d.Cloud.RPS, d.Cloud.ListLagS = cloudRPS, 4
	d.Limits.CoreShare = 1
	return s
}

// What the services on loopback take a second.
const (
	stateRPS = 2000
	cloudRPS = 20
)

// launch starts a controller's process.
func (l *Loopback) launch(n *node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	p := l.procs[n.ix]
	args := []string{"--config", p.settings}
	if l.operator != "" {
		args = append(args, "--operator", l.operator)
	}
	p.cmd = exec.Command(l.binary, args...)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		l.broke("start", "%s: %v", n.label, err)
		return
	}
	life, cmd := n.life, p.cmd
	go func() {
		err := cmd.Wait()
		l.do(func() {
			if n.up && n.life == life {
				l.broke("ended_by_itself", "%s: %v", n.label, err)
			}
		})
	}()
}

// Kill ends a controller without a signal that it could handle; it is back after d.
func (l *Loopback) Kill(ix int, d time.Duration) {
	if !l.nodes[ix].up {
		return
	}
	l.Crash(ix, d)
	l.signal(ix, syscall.SIGKILL)
}

// Stop makes a controller stand still for d.
func (l *Loopback) Stop(ix int, d time.Duration) {
	n := l.failing(ix, d)
	if n == nil {
		return
	}
	life := n.life
	l.signal(ix, syscall.SIGSTOP)
	l.after(d, func() {
		if n.up && n.life == life {
			l.signal(ix, syscall.SIGCONT)
		}
	})
}

// Isolate cuts a controller from the state service or from its peers, in one or both
// directions, holding what is sent or refusing connections.
func (l *Loopback) Isolate(ix int, fromState bool, forth, back linkState, d time.Duration) {
	l.troubled(d)
	var links []*proxy
	if fromState {
		links = append(links, l.procs[ix].state)
	} else {
		for k := range l.procs {
			if k != ix {
				links = append(links, l.procs[ix].peers[k], l.procs[k].peers[ix])
			}
		}
	}
	for _, link := range links {
		link.set(forth, back, 0)
	}
	l.after(d, func() {
		for _, link := range links {
			link.set(linkUp, linkUp, 0)
		}
	})
}

func (l *Loopback) signal(ix int, s syscall.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cmd := l.procs[ix].cmd; cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(s) // it may have ended
	}
}

// Play runs the world in step with the clock until a time, or until a rule is broken.
func (l *Loopback) Play(until time.Duration) {
	for len(l.Broken) == 0 {
		now := time.Since(l.began)
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
		case f := <-l.inject:
			l.now = max(l.now, time.Since(l.began))
			f()
		case <-time.After(next - now):
		}
	}
}

// do has the world's goroutine run a function.
func (l *Loopback) do(f func()) {
	l.mu.Lock()
	closed := l.closed
	l.mu.Unlock()
	if !closed {
		l.inject <- f
	}
}

// call is do, and waits for it.
func (l *Loopback) call(f func()) {
	done := make(chan struct{})
	l.do(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

// Close ends all controllers and servers.
func (l *Loopback) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for i, p := range l.procs {
		l.signal(i, syscall.SIGKILL)
		for _, link := range p.peers {
			link.listener.Close()
		}
		for _, link := range []*proxy{p.front, p.state, p.cloud} {
			link.listener.Close()
		}
		p.log.Close()
	}
	for _, s := range l.servers {
		s.Close()
	}
	for {
		select {
		case <-l.inject: // those who wait give up by themselves
		default:
			return
		}
	}
}

// serve starts a server on a port of its own and gives its address.
func (l *Loopback) serve(h http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &http.Server{Handler: h}
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	go func() { _ = s.Serve(listener) }()
	return listener.Addr().String()
}

// ask carries a worker's or user's request to a controller; no answer is status 0.
func (l *Loopback) ask(n *node, in core.Input, reply func(core.Reply)) {
	var req *http.Request
	base := "http://" + l.procs[n.ix].front.addr()
	switch x := in.(type) {
	case core.WorkerReported:
		raw, err := wire.Encode(x.Heartbeat)
		must(err)
		req, _ = http.NewRequest(http.MethodPost, base+"/v1/report", bytes.NewReader(raw))
	case core.UserRequest:
		switch x.Kind {
		case wire.RequestSubmit:
			req, _ = http.NewRequest(http.MethodPost, base+"/api/jobs", bytes.NewReader(x.Body))
		case wire.RequestStatus:
			req, _ = http.NewRequest(http.MethodGet, base+"/api/jobs/"+x.JobID, nil)
		case wire.RequestCancel:
			req, _ = http.NewRequest(http.MethodPost, base+"/api/jobs/"+x.JobID+"/withdraw", nil)
		}
	}
	go func() {
		r := core.Reply{}
		if resp, err := l.client.Do(req); err == nil {
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil {
				r = replyOf(in, resp.StatusCode, body)
			}
		}
		l.do(func() { reply(r) })
	}()
}

// replyOf reads an answer as the models expect it.
func replyOf(in core.Input, status int, body []byte) core.Reply {
	r := core.Reply{Status: status, Body: body}
	if _, report := in.(core.WorkerReported); !report {
		return r
	}
	var err error
	switch status {
	case http.StatusOK:
		var answer wire.HeartbeatReply
		err = wire.Decode(body, &answer)
		r.Body = answer
	case http.StatusMisdirectedRequest:
		var answer wire.Redirect
		err = wire.Decode(body, &answer)
		r.Body = answer
	}
	if err != nil {
		return core.Reply{}
	}
	return r
}

// serveWorker gives a worker an address of its own, at which it takes orders.
func (l *Loopback) serveWorker(k *workerSim) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		var orders wire.CommandBatch
		if err != nil || wire.Decode(body, &orders) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		result := make(chan core.Outcome, 1)
		l.do(func() { k.take(orders, nil, func(o core.Outcome) { result <- o }) })
		select {
		case o := <-result:
			if o != core.OK {
				w.WriteHeader(http.StatusConflict)
			}
		case <-time.After(4 * time.Second):
		}
	})
	return l.serve(mux)
}

// Logs tells the end of each controller's log, for a failed test.
func (l *Loopback) Logs(bytes int64) string {
	var out string
	for i, p := range l.procs {
		raw, _ := os.ReadFile(p.log.Name())
		out += fmt.Sprintf("--- %s\n%s\n", l.nodes[i].label, raw[max(0, int64(len(raw))-bytes):])
	}
	return out
}
