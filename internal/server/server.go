// Package server runs a controller: it connects the core to its adapters. A single goroutine
// uses the core: it receives inputs from queues, passes them to the core, and starts the
// effects that the core returns. The adapters make their requests in goroutines of their own
// and deliver the results as inputs.
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
	startedAt time.Time  // origin of the core's clock
	core      *core.Node // used by run only

	inputs         chan core.Input     // from the state service, the cloud and peers, and workers' answers to commands
	userRequests   chan pendingRequest // requests of users and operators, including those forwarded by peers
	workerRequests chan pendingRequest // heartbeats of workers
	stopped        <-chan struct{}     // closed when the controller stops
	lastRequestID  atomic.Uint64
	replyChannels  map[uint64]chan core.Reply // by request ID; used by run only
	ready          atomic.Bool

	links   map[string]*peer.Link // by the peer's label
	store   *store.Client
	cloud   *cloud.Client
	workers *worker.CommandClient
	running sync.WaitGroup // goroutines of run and of the watch
}

// defaultMaxConnections is how many connections of users and workers are accepted when the
// settings do not limit sockets: four for each machine of a site of 4,000 machines. Both queues
// of requests reserve 32 bytes for each connection.
const defaultMaxConnections = 16_384

// Run runs a controller until ctx ends or a listener fails, and returns the listener's error.
// Before it returns it waits for everything that it has started; after a listener has failed
// it does not wait for the HTTP requests in progress.
func Run(ctx context.Context, settings *config.Settings, operator config.OperatorSettings, log *slog.Logger) error {
	limitMemory(settings.Deployment.Limits.MemoryMB)
	public, private, err := listen(settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	maxConnections := defaultMaxConnections
	if settings.Deployment.Limits.Sockets > 0 {
		maxConnections = settings.PublicSockets()
	}
	c := newController(ctx, settings, operator, log, maxConnections)
	router := httprouter.New()
	dispatchUser, dispatchWorker := c.dispatcher(c.userRequests), c.dispatcher(c.workerRequests)
	api.RegisterRoutes(router, dispatchUser, c.ready.Load)
	worker.RegisterRoutes(router, dispatchWorker)
	server := api.NewServer(router, config.Seconds(settings.Deployment.Workers.LeaseS), maxConnections)

	failed := make(chan error, 2)
	go func() { failed <- server.Serve(public) }()
	go func() { failed <- peer.Serve(ctx, private, c.post, dispatchUser) }()
	c.running.Go(func() { c.store.Watch(ctx) })
	c.running.Go(func() { c.run(ctx) })
	log.Info("serving", "controller", settings.Label, "bind", settings.Bind, "validity", settings.Validity())
	return c.waitAndStop(ctx, cancel, server, failed)
}

// waitAndStop waits until ctx ends or a listener has failed, stops the controller, and waits
// until it has stopped.
func (c *Controller) waitAndStop(ctx context.Context, cancel context.CancelFunc, server *http.Server, failed <-chan error) error {
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	if ctx.Err() != nil { // the listener for peers then fails as well, which is no error
		err = server.Shutdown(context.Background())
	} else {
		cancel()
		server.Close() // its error is ignored in favor of err
	}
	c.running.Wait() // first, as run starts requests of the adapters
	c.store.Wait()
	c.cloud.Wait()
	c.workers.Wait()
	for _, link := range c.links {
		link.Wait()
	}
	return err
}

// newController returns a controller with its core and adapters. Links to peers run until ctx
// ends.
func newController(ctx context.Context, settings *config.Settings, operator config.OperatorSettings, log *slog.Logger, maxConnections int) *Controller {
	c := &Controller{
		log: log, startedAt: time.Now(), core: core.New(coreConfig(settings, operator)),
		inputs: make(chan core.Input, inputQueueSize),
		// A connection has at most one request in progress. With a slot for each connection
		// no request is refused because a queue is full.
		userRequests: make(chan pendingRequest, maxConnections), workerRequests: make(chan pendingRequest, maxConnections),
		stopped: ctx.Done(), replyChannels: map[uint64]chan core.Reply{}, links: map[string]*peer.Link{},
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

// listen opens the listeners for users and workers (public) and for peers (private). They
// accept no more connections than the settings' limit of sockets allows.
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
	// heapShare is the share of the machine's memory that the Go runtime may use. The rest
	// is for memory that the runtime does not account for: stacks of the C library, the
	// binary, and network buffers.
	heapShare = 0.6
	// gcPercent lets the heap grow more between collections than Go's default of 100, which
	// saves processor time. Near the memory limit the collector runs more often anyway.
	gcPercent   = 200
	bytesPerMiB = 1 << 20
)

// limitMemory limits the memory of the process for a machine with memoryMB MiB; 0 means no
// limit.
func limitMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * heapShare * bytesPerMiB))
		debug.SetGCPercent(gcPercent)
	}
}
