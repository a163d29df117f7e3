package core

import "time"

// writeBudget limits our writes to the state service, which allows few a second for all
// controllers together. A tenth is left for claims, submissions and cancellations, which
// can't wait. The rest is shared in proportion to need: each controller reports how many
// records it has to write and takes the share that follows. So what is decided is written
// at once, before others change the records that the decision is based on.
type writeBudget struct {
	available      float64 // writes that we may send now
	availableAt    Time    // when that was worked out
	rate           float64 // our share of the writes, per second
	rateUpdatedAt  Time    // when the rate is worked out next
	backlogSeconds float64 // seconds that the pending records of all controllers take to write
	seenWrites     float64 // writes that our watch has shown since measuredAt
	measuredAt     Time
	writesPerS     float64 // of all controllers, as a moving average

	seenUserWrites int     // submissions and cancellations among those
	userWritesPerS float64 // the same as a moving average
	reducedUntil   Time    // until then we keep to the service's next, lower rate
	reducedFor     Time    // for how long we did so after the last refusal
	pendingRecords int     // records that wait to be written by us
	pendingGrants  int     // of these, grants that the leader's last pass had no write left for
}

const (
	// minReducedTime is for how long we keep to the service's next rate after a first refusal.
	minReducedTime = 20 * second
	// rateInterval lies between two calculations of our share of the writes.
	rateInterval = 200 * time.Millisecond
	// writeBurstSeconds is how many seconds' worth of writes all controllers together may
	// save up: the service allows a burst of a second, and rarely all have saved up.
	writeBurstSeconds = 1.5
	// silentPeerTime is how long the need that a peer has reported counts.
	silentPeerTime = 5 * second
	// equalSharesPerMinimum says what a controller gets at least: one equal share in so many.
	equalSharesPerMinimum = 3

	// Bounds of the share of the writes that goes to the background, and how it falls with
	// the users' writes: these would be refused otherwise.
	minBackgroundShare  = 0.5
	maxBackgroundShare  = 0.9
	idleBackgroundShare = 0.95
	userWriteWeight     = 1.25

	// Writes are scarce from when the pending ones take fullScarcitySeconds, or when
	// more than freeUtilization of all writes are in use; see scarcity.
	fullScarcitySeconds   = 2
	freeUtilization       = 0.25
	scarcityByUtilization = 3

	// measureSeconds is how long writes are counted before the averages follow them, and
	// averageSeconds is the time constant of the averages.
	measureSeconds = 2
	averageSeconds = 8

	// resultsPerRecord is how many results of tasks that are not urgent count as one
	// record to be written: they go together with others.
	resultsPerRecord = 4
)

// noteRefusal notes that the service refused writes as too many: its next, lower rate may
// be in force already. We keep to that for a while, twice as long after each refusal.
func (b *writeBudget) noteRefusal(now Time) {
	if now < b.reducedUntil {
		return
	}
	b.reducedFor = max(minReducedTime, 2*b.reducedFor)
	b.reducedUntil = now + b.reducedFor
}

// serviceRate is how many writes a second the service allows, as far as is known; 0 or less
// means that there is no limit.
func (b *writeBudget) serviceRate(now Time, cfg *Config) float64 {
	if next := cfg.NextWriteRPS; next > 0 && now < b.reducedUntil {
		return min(next, cfg.WriteRPS)
	}
	return cfg.WriteRPS
}

// backgroundShare is the share of the writes that is distributed in proportion to need: nine
// tenths, and less while users submit and cancel a lot.
func (b *writeBudget) backgroundShare(serviceRate float64) float64 {
	return max(minBackgroundShare, min(maxBackgroundShare, idleBackgroundShare-userWriteWeight*b.userWritesPerS/serviceRate))
}

// refill adds the writes that our rate has allowed since the last call.
func (b *writeBudget) refill(now Time, serviceRate float64, cfg *Config) {
	// All controllers together stay within the burst that the service allows.
	most := max(float64(cfg.MaxBatchWrites), writeBurstSeconds*serviceRate/float64(len(cfg.Members))) + 1
	b.available = min(b.available+b.rate*(now-b.availableAt).Seconds(), most)
	b.availableAt = now
}

// updateRate works out our share of the writes from the records that we and all controllers
// together have to write. Each counts one more than it has, so that it is never without.
func (b *writeBudget) updateRate(serviceRate float64, ownNeed, totalNeed float64, controllers int) {
	all := serviceRate * b.backgroundShare(serviceRate)
	b.backlogSeconds = (totalNeed - float64(controllers)) / all
	b.rate = max(all*ownNeed/totalNeed, all/float64(equalSharesPerMinimum*controllers))
}

// scarcity goes from 0, when what is decided is written at once, to 1, when what waits takes
// fullScarcitySeconds and more or well over half of all writes are in use: then it pays to
// write less, at some delay.
func (b *writeBudget) scarcity(serviceRate float64) float64 {
	if serviceRate <= 0 {
		return 0
	}
	utilization := b.writesPerS / serviceRate
	return max(0, min(1, max(b.backlogSeconds/fullScarcitySeconds, (utilization-freeUtilization)*scarcityByUtilization)))
}

// observe counts writes of any controller that the watch has shown.
func (b *writeBudget) observe(now Time, writes int) {
	b.seenWrites += float64(writes)
	elapsed := (now - b.measuredAt).Seconds()
	if elapsed < measureSeconds {
		return
	}
	weight := min(1, elapsed/averageSeconds)
	b.writesPerS += (b.seenWrites/elapsed - b.writesPerS) * weight
	b.userWritesPerS += (float64(b.seenUserWrites)/elapsed - b.userWritesPerS) * weight
	b.seenWrites = 0
	b.seenUserWrites = 0
	b.measuredAt = now
}

// writeRPS is how many writes a second the service allows, as far as is known.
func (n *Node) writeRPS() float64 { return n.budget.serviceRate(n.now, &n.cfg) }

// writeScarcity is how scarce writes are, from 0 to 1; see writeBudget.scarcity.
func (n *Node) writeScarcity() float64 { return n.budget.scarcity(n.writeRPS()) }

// countWrites counts writes that the watch has shown.
func (n *Node) countWrites(writes int) { n.budget.observe(n.now, writes) }

// availableWrites is how many writes we may send now.
func (n *Node) availableWrites() int {
	serviceRate := n.writeRPS()
	if serviceRate <= 0 {
		return n.cfg.MaxTransactionOps
	}
	if n.now >= n.budget.rateUpdatedAt {
		n.budget.rateUpdatedAt = n.now + rateInterval
		n.budget.pendingRecords = n.countPendingRecords()
		ownNeed := 1 + float64(n.budget.pendingRecords)
		n.budget.updateRate(serviceRate, ownNeed, ownNeed+n.peersNeed(), len(n.cfg.Members))
	}
	n.budget.refill(n.now, serviceRate, &n.cfg)
	return int(n.budget.available)
}

// peersNeed is how many records the other controllers have to write, and one for each.
func (n *Node) peersNeed() float64 {
	need := 0.0
	for _, member := range n.cfg.Members {
		if member.Name == n.cfg.Self {
			continue
		}
		need++
		if peer := n.peers[member.Name]; peer != nil && n.now-peer.receivedAt < silentPeerTime {
			need += float64(peer.message.Need)
		}
	}
	return need
}

// countPendingRecords counts the records that wait to be written by us: of tasks that
// have ended, of grants to our shards, and of grants yet to be made.
func (n *Node) countPendingRecords() int {
	pending := map[int]bool{} // by index of the job
	for key, outcome := range n.outcomes {
		if n.isUrgentOutcome(key, outcome) {
			pending[key.job] = true
		}
	}
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Unplaced == 0 {
			continue
		}
		for i := range job.Record.ActiveTasks {
			if task := &job.Record.ActiveTasks[i]; task.Machine == "" && n.mayActAsOwner(n.shards[task.Shard]) {
				pending[index] = true
				break
			}
		}
	}
	records := len(pending) + len(n.outcomes)/resultsPerRecord
	if n.isLeader() {
		records += n.budget.pendingGrants
	}
	return records
}
