package simulation

import (
	"fmt"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
)

// Controllers of the simulated world: how they start, end, stand still and are given inputs.

type node struct {
	w     *World
	ix    int
	label string
	zone  string
	core  *core.Node
	up    bool
	old   bool // it plays the version before
	life  int
	boot  time.Duration
	drift float64
	wait  map[uint64]func(core.Reply)
	req   uint64

	still   time.Duration // until when it stands still
	backlog []core.Input  // what has come meanwhile
	stuck   []core.Effect // effects that it had decided on when it stopped
	stops   bool          // before the effects of its next step
}

func (n *node) start() {
	w := n.w
	n.up, n.boot = true, w.now
	n.life++
	n.still, n.stops, n.stuck, n.backlog = 0, false, nil, nil
	n.wait = map[uint64]func(core.Reply){}
	if w.launch != nil {
		w.store.at[n.label] = -1 // it watches by itself
		w.launch(n)
		return
	}
	cfg := core.Config{
		Self: n.label, Zone: n.zone, Incarnation: fmt.Sprintf("%s-%d", n.label, n.life), Zones: w.Zones, Teams: w.Teams,
		HeartbeatInterval: w.Report, WorkerLease: w.Lease, GangWait: w.GangWait,
		OwnerValidity: config.Validity(w.Lease, w.Cancel), LeaderLease: 5 * time.Second, MaxTransactionOps: w.TxnOps, MaxValueBytes: w.ValueBytes,
		MaxBulkTasks: 600,
		CloudListLag: 4 * time.Second, MaxBatchWrites: w.batchPuts(), CloudRPS: 2, StateRPS: 250, WriteRPS: w.WriteRPS, IdleTimeout: w.Idle, SpareMachines: 1, Preempt: true,
		WallClockMS: func() int64 { return w.now.Milliseconds() },
	}
	least := func(now, next int) int {
		if next > 0 {
			return min(now, next)
		}
		return now
	}
	cfg.Admission, cfg.EarlyTakeover = w.Admission, w.EarlyTakeover
	if n.old {
		cfg.Format = w.OldFormat
	}
	if cfg.Format != 1 { // format 1 knows of no limits to come
		cfg.CurrentValueBytes, cfg.MaxValueBytes = cfg.MaxValueBytes, least(cfg.MaxValueBytes, w.NextValueBytes)
		cfg.MaxTransactionOps, cfg.NextWriteRPS = least(cfg.MaxTransactionOps, w.NextTxnOps), w.NextWriteRPS
	}
	for _, m := range w.nodes {
		cfg.Members = append(cfg.Members, core.Member{Name: m.label, Zone: m.zone})
	}
	n.core = core.New(cfg)
	life := n.life
	w.store.list(n, life)
	var tick func()
	tick = func() {
		if n.life != life || !n.up {
			return
		}
		n.step(core.Tick{})
		w.after(50*time.Millisecond, tick)
	}
	w.after(time.Duration(n.ix)*7*time.Millisecond, tick)
}

// failing gives a controller that is about to end or to stand still for d, or nil if it is
// not up.
func (w *World) failing(ix int, d time.Duration) *node {
	n := w.nodes[ix]
	if !n.up {
		return nil
	}
	w.troubled(d)
	w.takeovers.failing(ix)
	return n
}

// Crash ends a controller; it comes back after d.
func (w *World) Crash(ix int, d time.Duration) {
	n := w.failing(ix, d)
	if n == nil {
		return
	}
	n.up = false
	n.wait = nil
	if w.launch == nil && w.EarlyTakeover {
		w.disconnect(n)
	}
	w.after(d, n.start)
}

func (n *node) step(in core.Input) {
	if !n.up {
		return
	}
	if n.w.now < n.still && !n.stops {
		if _, tick := in.(core.Tick); !tick {
			n.backlog = append(n.backlog, in)
		}
		return
	}
	local := time.Duration(float64(n.w.now-n.boot) * n.drift)
	out := n.core.Step(local, in)
	if n.w.observe != nil {
		n.w.observe(n.w.now, n.label, out)
	}
	if n.stops {
		n.stops, n.stuck = false, out
		return
	}
	for _, e := range out {
		n.perform(e)
	}
}

// Freeze makes a controller stand still while its clocks run on: between
// deciding and doing, at every second time.
func (w *World) Freeze(ix int, d time.Duration) {
	n := w.failing(ix, d)
	if n == nil {
		return
	}
	n.still, n.stops = w.now+d, w.rng.IntN(2) == 0
	life := n.life
	w.after(d, func() {
		if n.life != life || !n.up || w.now < n.still {
			return
		}
		stuck, backlog := n.stuck, n.backlog
		n.stuck, n.backlog, n.stops = nil, nil, false
		for _, e := range stuck {
			if call, is := e.(core.CallCloud); is && (call.Provision != nil || call.Deprovision != nil) && d > call.ValidFor {
				n.step(core.CloudAnswered{ID: call.ID, Outcome: core.Refused}) // as the adapter does
				continue
			}
			n.perform(e)
		}
		for _, in := range backlog {
			n.step(in)
		}
	})
}

// deliver gives an input to the same incarnation of the controller after a delay.
func (n *node) deliver(d time.Duration, in core.Input) {
	life := n.life
	n.w.after(d, func() {
		if n.life == life {
			n.step(in)
		}
	})
}

// ask gives a request to a controller; reply is called at most once.
func (n *node) ask(input func(req uint64) core.Input, reply func(core.Reply)) {
	if n.w.Settings.ask != nil {
		n.w.Settings.ask(n, input(0), reply)
		return
	}
	life := n.life
	n.w.after(n.w.latency(), func() {
		if n.life != life || !n.up {
			return
		}
		n.req++
		n.wait[n.req] = reply
		n.step(input(n.req))
	})
}
