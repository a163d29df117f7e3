package core

// ownViewsInterval is the time between two looks at the views of own machines when no
// heartbeat changes one.
const ownViewsInterval = second

// shareOwnViews brings the views of this controller's own machines up to date if it is
// time, and has changes sent to the peers at once.
func (n *Node) shareOwnViews() {
	if n.now < n.ownViewsAt {
		return
	}
	n.ownViewsAt = n.now + ownViewsInterval
	before := n.views.version
	n.updateOwnViews()
	n.sendGossip(n.views.version != before)
}

// updateOwnViews brings the views of this controller's own machines up to date.
func (n *Node) updateOwnViews() {
	for _, shard := range n.shards {
		if !n.mayActAsOwner(shard) {
			continue
		}
		othersReport := n.mostReport(shard)
		for _, machine := range shard.machines {
			n.workCount++
			if machine.term != shard.Term {
				continue
			}
			if view := n.ownView(shard, machine, othersReport); view != machine.view || machine.viewTerm != shard.Term {
				n.setView(machine, view, shard.Term)
				n.noteViewChange(machine)
				n.leader.passNeeded = true
			}
		}
	}
}

// mostReport reports whether more than half of the machines of a shard have sent a
// heartbeat lately.
func (n *Node) mostReport(shard *shard) bool {
	reporting, all := 0, 0
	for _, machine := range shard.machines {
		if machine.term == shard.Term && !machine.returned {
			all++
			if n.now-machine.heartbeatAt < 2*n.cfg.HeartbeatInterval {
				reporting++
			}
		}
	}
	return 2*reporting > all
}

// ownView is what the owner of a machine sees of it now.
func (n *Node) ownView(shard *shard, machine *machine, othersReport bool) machineView {
	silent := n.now - machine.heartbeatAt
	failedJobs := n.failedJobCount(machine)
	machine.unhealthy = machine.unhealthy && failedJobs > 0 // the jobs may have turned out to be at fault
	view := machineView{
		known: true, reclaimed: machine.reclaimAt > 0, draining: machine.draining, unhealthy: machine.unhealthy,
		unconfirmed: !machine.tokenConfirmed && !machine.newlyBooted,
		errors:      failedJobs, images: n.imageCount(machine),
	}
	switch {
	case silent > 3*n.cfg.HeartbeatInterval:
		view.missedHeartbeats = 2
	case silent > 2*n.cfg.HeartbeatInterval:
		view.missedHeartbeats = 1
	}
	// Machines could not report before this controller could answer. An unresponsive
	// one is as good as lost: all it does ends with its lease.
	view.unreachable = machine.unresponsive || n.isUnreachable(machine, min(silent, n.now-shard.ValidSince), othersReport)
	return view
}

// setView takes the view that the owner of a machine has of it.
func (s *site) setView(machine *machine, view machineView, term uint64) {
	if view.unconfirmed && (!machine.view.unconfirmed || machine.viewTerm != term) {
		machine.unconfirmedSince = s.now
	}
	machine.view, machine.viewTerm = view, term
}
