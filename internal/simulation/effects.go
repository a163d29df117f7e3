package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// What a controller wants done, carried out against the models: lost, late or refused.

// fate decides what becomes of a request: whether and when it is carried
// out, and whether the answer arrives.
func (w *World) fate() (carried time.Duration, runs, answered bool) {
	if w.now < w.lossTo {
		x := w.rng.Float64()
		switch {
		case x < w.late:
			return time.Duration(w.rng.IntN(60000)) * time.Millisecond, true, false
		case x < w.late+w.loss/2:
			return 0, false, false
		case x < w.late+w.loss:
			return w.latency(), true, false
		}
	}
	return w.latency(), true, true
}

// timeout is how long a controller waits for the state service or the cloud.
const patience = 1500 * time.Millisecond

// call runs a request of a controller against a service.
func (n *node) call(fate func() (time.Duration, bool, bool), run func() core.Input, lost core.Input, refused func() core.Input) {
	w := n.w
	if r := refused(); r != nil {
		n.deliver(w.latency(), r)
		return
	}
	d, runs, answered := fate()
	answered = answered && d < patience
	life := n.life
	if runs {
		w.after(d, func() {
			in := run()
			if answered && n.life == life {
				n.deliver(w.latency(), in)
			}
		})
	}
	if !answered {
		n.deliver(patience, lost)
	}
}

// perform carries out an effect of the core.
func (n *node) perform(e core.Effect) {
	w := n.w
	switch x := e.(type) {
	case core.Commit:
		n.commit(x)
	case core.ReadJob:
		n.read(x)
	case core.RenewLease:
		n.call(w.storeFate, func() core.Input {
			out, id := w.store.lease(x.LeaseID, x.TTL)
			return core.LeaseAnswered{ID: x.ID, Outcome: out, LeaseID: id}
		}, core.LeaseAnswered{ID: x.ID, Outcome: core.Unknown}, n.unlessRefused(core.LeaseAnswered{ID: x.ID, Outcome: core.Refused}))
	case core.CallCloud:
		n.callCloud(x)
	case core.SendCommands:
		n.order(x)
	case core.SendGossip:
		n.send(x)
	case core.SendHeartbeat:
		n.heartbeat(x)
	case core.SendDecisionLog:
		n.sendLog(x)
	case core.Forward:
		n.forward(x)
	case core.Log:
		w.trace("%8.3f %s %s %v", w.now.Seconds(), n.label, x.Text, x.Args)
	case core.Reply:
		if f := n.wait[x.RequestID]; f != nil {
			delete(n.wait, x.RequestID)
			f(x)
		}
	}
}

// unlessRefused gives the answer to a request that the state service refuses at once.
func (n *node) unlessRefused(refusal core.Input) func() core.Input {
	return func() core.Input {
		if n.w.store.refuses(n) {
			return refusal
		}
		return nil
	}
}

// commit sends a transaction to the state service.
func (n *node) commit(x core.Commit) {
	w := n.w
	puts := encodeWrites(x.Writes)
	n.call(w.writeFate(len(puts)), func() core.Input {
		refused := w.meter.refused
		out, rev, failed := w.store.commit(n, x.Conditions, puts)
		return core.Committed{ID: x.ID, Outcome: out, Revision: rev, Failed: failed, Limited: w.meter.refused > refused}
	}, core.Committed{ID: x.ID, Outcome: core.Unknown}, n.unlessRefused(core.Committed{ID: x.ID, Outcome: core.Refused}))
}

// read fetches the record of a job.
func (n *node) read(x core.ReadJob) {
	w := n.w
	n.call(w.storeFate, func() core.Input {
		r := core.JobRead{ID: x.ID, Outcome: core.NotFound}
		if k := w.store.keys[wire.JobKey(x.JobID)]; k != nil {
			r.Outcome, r.Revision, r.Job = core.OK, k.rev, new(wire.Job)
			must(wire.Decode(k.raw, r.Job))
		}
		return r
	}, core.JobRead{ID: x.ID, Outcome: core.Unknown}, n.unlessRefused(core.JobRead{ID: x.ID, Outcome: core.Refused}))
}

// callCloud sends a call to the cloud.
func (n *node) callCloud(x core.CallCloud) {
	w := n.w
	if x.Provision != nil || x.Deprovision != nil {
		if w.staleLeader(n) {
			w.broke("stale_leader", "%s deals with the cloud", n.label)
		}
		w.takeovers.calls(n)
	}
	n.call(w.fate, func() core.Input { return w.cloud.call(x) }, core.CloudAnswered{ID: x.ID, Outcome: core.Unknown}, func() core.Input {
		if w.cut(n.label, n.zone, "cloud", "") {
			return core.CloudAnswered{ID: x.ID, Outcome: core.Unknown}
		}
		if w.cloud.outage {
			return core.CloudAnswered{ID: x.ID, Outcome: core.Refused}
		}
		return nil
	})
}

// send carries a message to a peer.
func (n *node) send(x core.SendGossip) {
	w := n.w
	for _, m := range w.nodes {
		if m.label != x.To || w.cut(n.label, n.zone, m.label, m.zone) {
			continue
		}
		if w.now < w.lossTo && w.rng.Float64() < w.loss {
			continue
		}
		msg := *x.Message
		if raw, err := wire.Encode(x.Message); err == nil {
			w.meter.bytes += len(raw)
		}
		m.deliver(w.latency(), core.GossipReceived{Message: &msg})
	}
}

// order carries orders to a worker's own address. What is held back or comes
// late may be obeyed long after the sender has given up, and twice.
func (n *node) order(x core.SendCommands) {
	w := n.w
	var k *workerSim
	for _, y := range w.workers {
		if y.m.Addr == x.Address {
			k = y
		}
	}
	says := func(d time.Duration, o core.Outcome) { n.deliver(d, core.CommandsAnswered{ID: x.ID, Outcome: o}) }
	if k == nil || k.off || w.now < k.deafTo {
		says(700*time.Millisecond, core.Refused)
		return
	}
	if w.cut(k.m.Name, k.m.Zone, n.label, n.zone) {
		if !w.holds(k.m.Name, k.m.Zone, n.label, n.zone) || w.rng.IntN(2) == 0 {
			says(700*time.Millisecond, core.Refused)
			return
		}
		// The connection stood already when the cut began.
		says(3*time.Second, core.Unknown)
		k.take(x.Batch, func() bool { return w.cut(k.m.Name, k.m.Zone, n.label, n.zone) }, func(core.Outcome) {})
		return
	}
	d, runs, answered := w.fate()
	life, told := n.life, false
	tell := func(o core.Outcome) {
		if answered && !told && n.life == life {
			told = true
			says(w.latency(), o)
		}
	}
	if runs {
		w.after(d, func() { k.take(x.Batch, nil, tell) })
	}
	if w.now < w.copiesTo {
		w.after(time.Second+time.Duration(w.rng.Int64N(int64(w.copyDelay))), func() { k.take(x.Batch, nil, func(core.Outcome) {}) })
	}
	w.after(3*time.Second, func() {
		if !told && n.life == life {
			told = true
			says(0, core.Unknown)
		}
	})
}

func (n *node) forward(x core.Forward) {
	w := n.w
	for _, m := range w.nodes {
		if m.label != x.To {
			continue
		}
		if !m.up || w.cut(n.label, n.zone, m.label, m.zone) {
			break
		}
		life := n.life
		m.ask(func(req uint64) core.Input {
			return core.UserRequest{RequestID: req, Kind: x.Call.Kind, JobID: x.Call.Ref, Body: x.Call.Body, Forwarded: true}
		}, func(r core.Reply) {
			b, err := wire.Encode(r.Body)
			must(err)
			if n.life == life {
				n.deliver(w.latency(), core.ForwardAnswered{RequestID: x.RequestID, Answer: wire.UserAnswer{Status: r.Status, Body: b}})
			}
		})
		return
	}
	n.deliver(time.Second, core.ForwardAnswered{RequestID: x.RequestID})
}
