package core

import "time"

// writeBudget limits the background writes of this controller to the state service, which allows
// only few writes per second for all controllers together. At least a tenth is reserved for claims,
// submissions and cancellations, which can't wait. The rest is shared in proportion to demand:
// each controller reports the number of records it has to write and uses the resulting share.
// A controller with much to write can then write its decisions immediately, before others change
// the records that the decisions are based on.
type writeBudget struct {
	available        float64 // writes that may be sent now
	refilledAt       Time    // when available was last updated
	rate             float64 // this controller's share of the writes, per second
	nextRateUpdateAt Time    // when the rate is recalculated next
	backlogSeconds   float64 // time to write the pending records of all controllers
	observedWrites   float64 // writes that the watch has shown since measuredAt
	measuredAt       Time    // when the averages were last updated
	writesPerS       float64 // writes of all controllers, as a moving average

	observedUserWrites int     // submissions and cancellations since measuredAt
	userWritesPerS     float64 // submissions and cancellations, as a moving average
	reducedUntil       Time    // until then Config.NextWriteRPS is assumed to be in effect
	reducedFor         Time    // for how long it was last assumed
	pendingRecords     int     // records that wait to be written by this controller
	pendingPassRecords int     // records that the leader's last pass changed, and grants left unwritten
}

const (
	// minReducedTime is how long Config.NextWriteRPS is assumed to be in effect after the first
	// refusal.
	minReducedTime = 20 * second
	// rateInterval is the time between two calculations of this controller's share.
	rateInterval = 200 * time.Millisecond
	// writeBurstSeconds bounds the writes that all controllers together may accumulate, in
	// seconds of the service's rate. The service allows bursts of one second, but rarely have
	// all controllers accumulated their maximum.
	writeBurstSeconds = 1.5
	// peerDemandTimeout is how long the demand that a peer has reported counts.
	peerDemandTimeout = 5 * second
	// minShareDivisor sets the minimum rate of a controller: an equal share divided by
	// this number.
	minShareDivisor = 3

	// The background share of the writes is idleBackgroundShare less userWriteWeight times the
	// share of the users' writes, within the bounds. Without the reduction, writes of users
	// would be refused.
	minBackgroundShare  = 0.5
	maxBackgroundShare  = 0.9
	idleBackgroundShare = 0.95
	userWriteWeight     = 1.25

	// Scarcity is the greater of two values: one that reaches 1 if the pending records take
	// fullScarcitySeconds to write, and one that is 0 up to a utilization of freeUtilization
	// and then increases by scarcityPerUtilization per unit of utilization.
	fullScarcitySeconds    = 2
	freeUtilization        = 0.25
	scarcityPerUtilization = 3

	// measureSeconds is how long writes are counted before the averages are updated.
	// averageSeconds is the time constant of the averages.
	measureSeconds = 2
	averageSeconds = 8

	// outcomesPerRecord is how many task outcomes count as one record to be written, in
	// addition to the records of urgent outcomes, because outcomes that are not urgent are
	// written together with others.
	outcomesPerRecord = 4
)

// recordRefusal records that the service has refused writes because of its rate limit. The lower
// rate that the settings announce, Config.NextWriteRPS, may already be in effect, so it is assumed
// for minReducedTime. Refusals during this time have no effect; each later one doubles the time.
func (b *writeBudget) recordRefusal(now Time) {
	if now < b.reducedUntil {
		return
	}
	b.reducedFor = max(minReducedTime, 2*b.reducedFor)
	b.reducedUntil = now + b.reducedFor
}

// serviceRate returns the number of writes per second that the service is assumed to allow; 0 or
// less means no limit.
func (b *writeBudget) serviceRate(now Time, cfg *Config) float64 {
	if next := cfg.NextWriteRPS; next > 0 && now < b.reducedUntil {
		return min(next, cfg.WriteRPS)
	}
	return cfg.WriteRPS
}

// backgroundShare returns the share of the writes that is distributed in proportion to demand:
// nine tenths, and less while users submit and cancel many jobs.
func (b *writeBudget) backgroundShare(serviceRate float64) float64 {
	return max(minBackgroundShare, min(maxBackgroundShare, idleBackgroundShare-userWriteWeight*b.userWritesPerS/serviceRate))
}

// refill adds the writes that the rate has allowed since the last call.
func (b *writeBudget) refill(now Time, serviceRate float64, cfg *Config) {
	// All controllers together may accumulate writeBurstSeconds of the service's rate.
	maximum := max(float64(cfg.MaxBatchWrites), writeBurstSeconds*serviceRate/float64(len(cfg.Members))) + 1
	b.available = min(b.available+b.rate*(now-b.refilledAt).Seconds(), maximum)
	b.refilledAt = now
}

// updateRate calculates this controller's share of the writes from the demand of this controller
// and of all controllers together. The demand of a controller is the number of records that it
// has to write plus one, so that no share is zero.
func (b *writeBudget) updateRate(serviceRate float64, ownDemand, totalDemand float64, controllers int) {
	all := serviceRate * b.backgroundShare(serviceRate)
	b.backlogSeconds = (totalDemand - float64(controllers)) / all
	b.rate = max(all*ownDemand/totalDemand, all/float64(minShareDivisor*controllers))
}

// scarcity returns how scarce writes are. At 0, decisions can be written immediately. At 1, the
// pending records take at least fullScarcitySeconds to write, or well over half of all writes
// are in use; callers then delay writes to combine them.
func (b *writeBudget) scarcity(serviceRate float64) float64 {
	if serviceRate <= 0 {
		return 0
	}
	utilization := b.writesPerS / serviceRate
	return max(0, min(1, max(b.backlogSeconds/fullScarcitySeconds, (utilization-freeUtilization)*scarcityPerUtilization)))
}

// addObservedWrites counts writes of all controllers that the watch has shown, and updates the
// averages.
func (b *writeBudget) addObservedWrites(now Time, writes int) {
	b.observedWrites += float64(writes)
	elapsed := (now - b.measuredAt).Seconds()
	if elapsed < measureSeconds {
		return
	}
	weight := min(1, elapsed/averageSeconds)
	b.writesPerS += (b.observedWrites/elapsed - b.writesPerS) * weight
	b.userWritesPerS += (float64(b.observedUserWrites)/elapsed - b.userWritesPerS) * weight
	b.observedWrites = 0
	b.observedUserWrites = 0
	b.measuredAt = now
}

// writeRPS returns the number of writes per second that the service is assumed to allow.
func (n *Node) writeRPS() float64 { return n.budget.serviceRate(n.now, &n.cfg) }

// writeScarcity returns how scarce writes are, from 0 to 1; see writeBudget.scarcity.
func (n *Node) writeScarcity() float64 { return n.budget.scarcity(n.writeRPS()) }

// countWrites counts writes that the watch has shown.
func (n *Node) countWrites(writes int) { n.budget.addObservedWrites(n.now, writes) }

// availableWrites returns the number of background writes that may be sent now. It first updates
// this controller's share if that is due, and adds the writes allowed since the last call.
func (n *Node) availableWrites() int {
	serviceRate := n.writeRPS()
	if serviceRate <= 0 {
		return n.cfg.MaxTransactionOps
	}
	if n.now >= n.budget.nextRateUpdateAt {
		n.budget.nextRateUpdateAt = n.now + rateInterval
		n.budget.pendingRecords = n.countPendingRecords()
		ownDemand := 1 + float64(n.budget.pendingRecords)
		n.budget.updateRate(serviceRate, ownDemand, ownDemand+n.peersDemand(), len(n.cfg.Members))
	}
	n.budget.refill(n.now, serviceRate, &n.cfg)
	return int(n.budget.available)
}

// peersDemand returns the demand of the other controllers: the number of records that they have
// to write, plus one each.
func (n *Node) peersDemand() float64 {
	demand := 0.0
	for _, member := range n.cfg.Members {
		if member.Name == n.cfg.Self {
			continue
		}
		demand++
		if peer := n.peers[member.Name]; peer != nil && n.now-peer.receivedAt < peerDemandTimeout {
			demand += float64(peer.message.Need)
		}
	}
	return demand
}

// countPendingRecords counts the records that wait to be written by this controller: those of
// ended tasks, of grants to its own shards that have no machine yet and, as the leader, those of
// its last scheduling pass.
func (n *Node) countPendingRecords() int {
	pending := map[int]bool{} // jobs, by index
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
	records := len(pending) + len(n.outcomes)/outcomesPerRecord
	if n.isLeader() {
		records += n.budget.pendingPassRecords
	}
	return records
}
