// Package server runs a controller: it wires the core to its adapters. One goroutine owns the
// core; it takes inputs from queues, steps the core, and carries out the effects. The adapters
// make their requests in goroutines of their own and deliver the results as inputs.
package server

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
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
	"micaport/internal/worker"
)

// Controller is a running controller.
type Controller struct {
	log       *slog.Logger
	startedAt time.Time  // zero of the core's clock
	core      *core.Node // owned by run

	inputs       chan core.Input            // from the state service, the cloud, workers' answers and peers
	userInputs   chan pendingInput          // requests of users and operators, also those that peers forward
	workerInputs chan pendingInput          // heartbeats of workers
	stopped      <-chan struct{}            // closed when the controller stops
	nextRequest  atomic.Uint64              // the last request ID
	replies      map[uint64]chan core.Reply // by request ID; owned by run
	ready        atomic.Bool

	links   map[string]*peer.Link // by the peer's label
	store   *store.Client
	cloud   *cloud.Client
	workers *worker.CommandClient
	running sync.WaitGroup // run and the watch
}

// defaultConnections is how many connections of users and workers are accepted where the
// settings have no limit of sockets: four times the machines of a site of 4,000. Each has a
// place in both queues of requests, of 32 bytes.
const defaultConnections = 16_384

// Run runs a controller until ctx ends or a listener fails. It returns the listener's error,
// and waits for everything that it has started, requests that HTTP clients have in progress
// aside if a listener failed.
func Run(ctx context.Context, settings *config.Settings, operator config.OperatorSettings, log *slog.Logger) error {
	limitMemory(settings.Deployment.Limits.MemoryMB)
	public, private, err := listen(settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	maxConnections := defaultConnections
	if settings.Deployment.Limits.Sockets > 0 {
		maxConnections = settings.PublicSockets()
	}
	c := newController(ctx, settings, operator, log, maxConnections)
	router := httprouter.New()
	dispatchUser, dispatchWorker := c.dispatcher(c.userInputs), c.dispatcher(c.workerInputs)
	api.RegisterRoutes(router, dispatchUser, c.ready.Load)
	worker.RegisterRoutes(router, dispatchWorker)
	server := api.NewServer(router, config.Seconds(settings.Deployment.Workers.LeaseS), maxConnections)

	failed := make(chan error, 2)
	go func() { failed <- server.Serve(public) }()
	go func() { failed <- peer.Serve(ctx, private, c.post, dispatchUser) }()
	c.running.Go(func() { c.store.Watch(ctx) })
	c.running.Go(func() { c.run(ctx) })
	log.Info("serving", "controller", settings.Label, "bind", settings.Bind, "validity", settings.Validity())
	return c.waitForEnd(ctx, cancel, server, failed)
}

// waitForEnd waits until ctx ends or a listener has failed, stops the controller, and waits
// until it has stopped.
func (c *Controller) waitForEnd(ctx context.Context, cancel context.CancelFunc, server *http.Server, failed <-chan error) error {
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	if ctx.Err() != nil { // the listener for peers fails then, too
		err = server.Shutdown(context.Background())
	} else {
		cancel()
		server.Close() // err matters more
	}
	c.running.Wait() // first, as run begins requests
	c.store.Wait()
	c.cloud.Wait()
	c.workers.Wait()
	for _, link := range c.links {
		link.Wait()
	}
	return err
}

// newController makes the core and its adapters. Links to peers connect until ctx ends.
func newController(ctx context.Context, settings *config.Settings, operator config.OperatorSettings, log *slog.Logger, maxConnections int) *Controller {
	c := &Controller{
		log: log, startedAt: time.Now(), core: core.New(coreConfig(settings, operator)),
		inputs: make(chan core.Input, inputQueueSize),
		// A connection has at most one request in progress, so with a place for each
		// connection no request is refused because a queue is full.
		userInputs: make(chan pendingInput, maxConnections), workerInputs: make(chan pendingInput, maxConnections),
		stopped: ctx.Done(), replies: map[uint64]chan core.Reply{}, links: map[string]*peer.Link{},
	}
	controllers := len(settings.Peers) + 1
	c.store = store.New(settings.External.State, controllers, settings.StateLimits().RPS, c.post)
	c.cloud = cloud.New(settings.External.Cloud, settings.Deployment.Cloud.RPS, c.post)
	c.workers = worker.NewCommandClient(c.post)
	for _, p := range settings.Peers {
		c.links[p.Label] = peer.Dial(ctx, p.Address, func() { c.post(core.Disconnected{Peer: p.Label}) })
	}
	return c
}

// listen opens the listeners for users and workers (public) and for peers (private), which
// accept no more connections than the limit of sockets allows.
func listen(settings *config.Settings) (public, private net.Listener, err error) {
	public, err = net.Listen("tcp", settings.Bind)
	if err != nil {
		return nil, nil, fmt.Errorf("bind: %w", err)
	}
	private, err = net.Listen("tcp", settings.ClusterBind)
	if err != nil {
		public.Close()
		return nil, nil, fmt.Errorf("cluster_listen: %w", err)
	}
	if settings.Deployment.Limits.Sockets > 0 {
		public = netutil.LimitListener(public, settings.PublicSockets())
		private = netutil.LimitListener(private, settings.PeerSockets())
	}
	return public, private, nil
}

const (
	// heapShare of the machine's memory is for the Go runtime. The rest is for what the
	// collector does not see: stacks of the C library, the binary, and network buffers.
	heapShare = 0.6
	// gcPercent lets the heap grow more between collections than by default, which saves
	// processor time; near the memory limit the collector runs more often.
	gcPercent   = 200
	bytesPerMiB = 1 << 20
)

// limitMemory keeps the process within the machine's memory, in MiB; 0 means no limit.
func limitMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * heapShare * bytesPerMiB))
		debug.SetGCPercent(gcPercent)
	}
}
