// Package node wires the core to its adapters. The core is owned by one
// goroutine, which takes inputs from a channel and carries out the effects.
package server

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/net/netutil"

	"micaport/internal/api"
	"micaport/internal/cloud"
	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/peer"
	"micaport/internal/store"
	"micaport/internal/wire"
	"micaport/internal/worker"
)

// Node is a running controller.
type Node struct {
	log          *slog.Logger
	startedAt    time.Time
	inputs       chan core.Input   // what the state service, the cloud and peers say
	userInputs   chan pendingInput // requests of users, also those that peers hand on
	workerInputs chan pendingInput // reports of workers
	core         *core.Node
	peers        map[string]*peer.Link
	store        *store.Client
	cloud        *cloud.Client
	workers      *worker.CommandClient

	nextReq atomic.Uint64
	replies map[uint64]chan core.Reply // owned by the core's goroutine
	ready   atomic.Bool
}

// pendingInput is an input that wants a reply.
type pendingInput struct {
	req   uint64
	in    core.Input
	reply chan core.Reply
}

// Run serves until ctx ends.
func Run(ctx context.Context, s *config.Settings, op config.OperatorSettings, log *slog.Logger) error {
	d := &s.Deployment
	if mb := d.Limits.MemoryMB; mb > 0 {
		// Leave room for what the collector does not see: stacks of the C
		// library, the binary, and buffers of the network.
		debug.SetMemoryLimit(int64(mb * 0.6 * (1 << 20)))
		debug.SetGCPercent(200)
	}
	public, err := net.Listen("tcp", s.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	private, err := net.Listen("tcp", s.ClusterBind)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	room := defaultConnections
	if d.Limits.Sockets > 0 {
		room = s.PublicSockets()
		public = netutil.LimitListener(public, room)
		private = netutil.LimitListener(private, s.PeerSockets())
	}
	n := &Node{
		// A connection has one request under way at most, so with as many
		// places as sockets nothing is refused for want of a place.
		log: log, startedAt: time.Now(), inputs: make(chan core.Input, inputQueue),
		userInputs: make(chan pendingInput, room), workerInputs: make(chan pendingInput, room),
		peers: map[string]*peer.Link{}, replies: map[uint64]chan core.Reply{},
	}
	n.core = core.New(coreConfig(s, op))
	members := len(s.Peers) + 1
	n.store = store.New(s.External.State, members, s.StateLimits().RPS, n.post)
	n.cloud = cloud.New(s.External.Cloud, d.Cloud.RPS, n.post)
	n.workers = worker.NewCommandClient(n.post)
	for _, p := range s.Peers {
		n.peers[p.Label] = peer.Dial(p.Address, func() { n.post(core.Disconnected{Peer: p.Label}) })
	}
	r := httprouter.New()
	askUser, askHost := n.asker(n.userInputs), n.asker(n.workerInputs)
	api.RegisterRoutes(r, askUser, n.ready.Load)
	worker.RegisterRoutes(r, askHost)
	fail := make(chan error, 3)
	srv := api.NewServer(r, config.Seconds(d.Workers.LeaseS), room)
	go func() { fail <- srv.Serve(public) }()
	go func() { fail <- peer.Serve(private, n.post, askUser) }()
	go n.store.Watch(ctx)
	go n.run(ctx)
	log.Info("serving", "node", s.Label, "bind", s.Bind, "validity", s.Validity())
	select {
	case err := <-fail:
		return err
	case <-ctx.Done():
		return srv.Shutdown(context.Background())
	}
}

// maxBulkTasksPerCore bounds the active tasks of one array by the processor. Such
// tasks may last a few seconds; while they end, their machines report twice a
// second, which costs their owner some 0.2 ms a report and as much for each
// task's grant, placing, start and end. A thousand tasks, a dozen on each machine
// and over within ten seconds, so take 50 ms of each second, a third of what
// the share that allows them gives.
const maxBulkTasksPerCore = 6000

// admissions maps the operators' words to what they mean.
var admissions = map[string]core.Admission{
	config.AdmitByLeader:   core.AdmitNothing,
	config.AdmitLeaderless: core.AdmitLeaderless,
	config.AdmitGuaranteed: core.AdmitGuaranteed,
}

func coreConfig(s *config.Settings, op config.OperatorSettings) core.Config {
	d, limits := &s.Deployment, s.StateLimits()
	c := core.Config{
		Self: s.Label, Zone: s.Zone,
		Incarnation:       fmt.Sprintf("%d-%d-%d", os.Getpid(), time.Now().UnixNano(), rand.Uint32()),
		Members:           []core.Member{{Name: s.Label, Zone: s.Zone}},
		Zones:             d.Zones,
		HeartbeatInterval: config.Seconds(d.Workers.ReportS), WorkerLease: config.Seconds(d.Workers.LeaseS),
		GangWait:          config.Seconds(d.Workers.GangWaitS),
		OwnerValidity:     s.Validity(),
		LeaderLease:       config.LeaderLease,
		MaxTransactionOps: limits.TxnOps, MaxValueBytes: limits.ValueBytes, CurrentValueBytes: int(d.State.ValueKB * 1024),
		// A transaction needs as many of the puts allowed a second at once; a
		// large one would wait behind every small one.
		MaxBatchWrites: max(2, int(1.5*d.State.WriteRPS/float64(len(s.Peers)+1))),
		MaxBulkTasks:   int(maxBulkTasksPerCore * d.Limits.CoreShare),
		CloudListLag:   config.Seconds(d.Cloud.ListLagS),
		CloudRPS:       d.Cloud.RPS, StateRPS: limits.RPS, WriteRPS: d.State.WriteRPS, NextWriteRPS: limits.WriteRPS,
		IdleTimeout: config.Seconds(op.IdleReturnS), SpareMachines: op.SpareMachines,
		MaxMachines: op.MaxMachines, Preempt: op.Preempt, Admission: admissions[op.Admission],
		EarlyTakeover: op.Takeover == config.TakeoverEarly,
		WallClockMS:   func() int64 { return time.Now().UnixMilli() },
	}
	for _, p := range s.Peers {
		c.Members = append(c.Members, core.Member{Name: p.Label, Zone: p.Zone})
	}
	for _, o := range d.Objectives {
		if o.Kind == "wait" {
			c.StartObjectives = append(c.StartObjectives, core.StartObjective{Class: o.Class, Within: config.Seconds(o.WithinS)})
		}
	}
	for _, t := range d.Teams {
		c.Teams = append(c.Teams, core.Team{Name: t.Name, GuaranteedCores: t.GuaranteedCores, GuaranteedGPUs: t.GuaranteedGPUs, MaxCores: t.MaxCores, MaxGPUs: t.MaxGPUs})
	}
	return c
}

// post gives the core an input.
func (n *Node) post(in core.Input) { n.inputs <- in }

const (
	// defaultConnections is how many users and workers are taken where the settings
	// name no limit of sockets: four times a site of 4,000 machines. Where they name
	// one, it alone counts. Both queues have a place for each connection, 32 bytes.
	defaultConnections = 16_384
	// inputQueue is how many results of requests wait before their senders do. Each
	// sender is a goroutine of its own, so none is lost and the bound limits nothing
	// but how long a burst stays out of the core's sight.
	inputQueue = 1024
)

// asker makes a function that gives the core a request by way of a queue and
// waits for its reply.
func (n *Node) asker(queue chan pendingInput) api.Dispatch {
	return func(request func(req uint64) core.Input) (core.Reply, bool) {
		a := pendingInput{req: n.nextReq.Add(1), reply: make(chan core.Reply, 1)}
		a.in = request(a.req)
		select {
		case queue <- a:
		default:
			return core.Reply{}, false
		}
		select {
		case r := <-a.reply:
			return r, true
		case <-time.After(6 * time.Second):
			return core.Reply{}, false
		}
	}
}

// next waits for an input. What the state service and peers say goes first: a
// herd of requests must not hold up renewals and the watch. Users and workers
// take turns by chance.
func (n *Node) next(ctx context.Context, tick <-chan time.Time) core.Input {
	select {
	case in := <-n.inputs:
		return in
	default:
	}
	var a pendingInput
	select {
	case <-ctx.Done():
		return nil
	case <-tick:
		return core.Tick{}
	case in := <-n.inputs:
		return in
	case a = <-n.userInputs:
	case a = <-n.workerInputs:
	}
	n.replies[a.req] = a.reply
	return a.in
}

func (n *Node) run(ctx context.Context) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		in := n.next(ctx, tick.C)
		if in == nil {
			return
		}
		for _, e := range n.core.Step(time.Since(n.startedAt), in) {
			n.perform(e)
		}
		if !n.ready.Load() {
			n.ready.Store(n.core.Ready())
		}
	}
}

func (n *Node) perform(e core.Effect) {
	switch x := e.(type) {
	case core.Commit:
		n.store.Commit(x)
	case core.ReadJob:
		n.store.Read(x)
	case core.RenewLease:
		n.store.Lease(x)
	case core.CallCloud:
		n.cloud.Call(context.Background(), x)
	case core.AllowCloudCalls:
		n.cloud.AllowCalls(x.Term, n.startedAt.Add(x.Until))
	case core.SendCommands:
		n.workers.Send(context.Background(), x)
	case core.SendGossip:
		if l := n.peers[x.To]; l != nil {
			l.Send(x.Message)
		}
	case core.SendHeartbeat:
		if l := n.peers[x.To]; l != nil {
			l.SendHeartbeat(x.Message)
		}
	case core.SendDecisionLog:
		if l := n.peers[x.To]; l != nil {
			l.SendLog(x.Message, func(ack wire.DecisionLogAck) { n.post(core.DecisionLogAcknowledged{Ack: ack}) })
		}
	case core.Forward:
		n.forward(x)
	case core.Reply:
		if c := n.replies[x.RequestID]; c != nil {
			delete(n.replies, x.RequestID)
			c <- x
		}
	case core.Log:
		n.log.Log(context.Background(), logLevels[x.Level], x.Text, x.Args...)
	}
}

// logLevels maps the core's levels to those of the log.
var logLevels = map[core.LogLevel]slog.Level{
	core.LogDebug: slog.LevelDebug,
	core.LogInfo:  slog.LevelInfo,
	core.LogError: slog.LevelError,
}

// forward hands a user's request to a peer.
func (n *Node) forward(f core.Forward) {
	l := n.peers[f.To]
	if l == nil {
		go n.post(core.ForwardAnswered{RequestID: f.RequestID})
		return
	}
	l.Ask(f.Call, func(a wire.UserAnswer) { go n.post(core.ForwardAnswered{RequestID: f.RequestID, Answer: a}) })
}
