package core

import "time"

// writeBudget limits our writes to the state service, which allows few a second for all
// controllers together. A tenth is left for claims, submissions and cancellations, which
// can't wait. The rest is shared in proportion to need: each controller reports how many
// records it has to write and takes the share that follows. So what is decided is written
// at once, before others change the records that the decision is based on.
type writeBudget struct {
	available      float64
	availableAt    Time
	rate           float64
	rateUpdatedAt  Time
	backlogSeconds float64 // seconds that the pending records of all controllers take to write
	seenWrites     float64 // writes that our watch has shown since measuredAt
	measuredAt     Time
	writesPerS     float64 // of all controllers, as a moving average

	seenUserWrites int     // submissions and cancellations among those
	userWritesPerS float64 // the same as a moving average
	reducedUntil   Time    // until then the service's next rate is kept to
	reducedFor     Time    // for how long that was last
	pendingRecords int     // records that wait to be written by us
	pendingGrants  int     // of these, grants that the leader's last pass had no write left for
}

// noteRefusal notes that the service refused writes as too many: its next, lower rate may
// be in force already. We keep to that for a while, twice as long after each refusal.
func (p *writeBudget) noteRefusal(now Time) {
	if now < p.reducedUntil {
		return
	}
	p.reducedFor = max(20*second, 2*p.reducedFor)
	p.reducedUntil = now + p.reducedFor
}

// writeRPS is how many puts a second the service takes, as far as is seen.
func (n *Node) writeRPS() float64 {
	if next := n.cfg.NextWriteRPS; next > 0 && n.now < n.budget.reducedUntil {
		return min(next, n.cfg.WriteRPS)
	}
	return n.cfg.WriteRPS
}

// backgroundShare is the part of the writes that is shared in proportion to need: nine tenths,
// and less where users submit and cancel a lot, as they would be refused otherwise.
func (n *Node) backgroundShare() float64 {
	return max(0.5, min(0.9, 0.95-1.25*n.budget.userWritesPerS/n.writeRPS()))
}

// availableWrites is how many puts we may send now.
func (n *Node) availableWrites() int {
	if n.writeRPS() <= 0 {
		return n.cfg.MaxTransactionOps
	}
	p := &n.budget
	if n.now >= p.rateUpdatedAt {
		p.rateUpdatedAt = n.now + 200*time.Millisecond
		p.pendingRecords = n.countPendingRecords()
		p.rate = n.ownWriteRate()
	}
	// All together stay within the burst of a second that the service allows.
	most := max(float64(n.cfg.MaxBatchWrites), 1.5*n.writeRPS()/float64(len(n.cfg.Members))) + 1
	p.available = min(p.available+p.rate*(n.now-p.availableAt).Seconds(), most)
	p.availableAt = n.now
	return int(p.available)
}

// ownWriteRate is our share of the puts a second.
func (n *Node) ownWriteRate() float64 {
	mine := 1 + float64(n.budget.pendingRecords)
	total := mine
	for _, m := range n.cfg.Members {
		if p := n.peers[m.Name]; m.Name == n.cfg.Self {
			continue
		} else if p != nil && n.now-p.heardAt < 5*second {
			total += 1 + float64(p.message.Need)
		} else {
			total++
		}
	}
	all := n.writeRPS() * n.backgroundShare()
	n.budget.backlogSeconds = (total - float64(len(n.cfg.Members))) / all
	return max(all*mine/total, all/float64(3*len(n.cfg.Members)))
}

// writeScarcity goes from 0, when puts are to be had at once, to 1, when what waits
// takes two seconds and more or when well over half of all puts are in use:
// then it pays to write less, at some delay.
func (n *Node) writeScarcity() float64 {
	if n.writeRPS() <= 0 {
		return 0
	}
	return max(0, min(1, max(n.budget.backlogSeconds/2, (n.budget.writesPerS/n.writeRPS()-0.25)*3)))
}

// countWrites counts what the watch shows.
func (n *Node) countWrites(k int) {
	p := &n.budget
	p.seenWrites += float64(k)
	if d := (n.now - p.measuredAt).Seconds(); d >= 2 {
		p.writesPerS += (p.seenWrites/d - p.writesPerS) * min(1, d/8)
		p.userWritesPerS += (float64(p.seenUserWrites)/d - p.userWritesPerS) * min(1, d/8)
		p.seenWrites, p.seenUserWrites, p.measuredAt = 0, 0, n.now
	}
}

// countPendingRecords counts the records that wait to be written by us: of tasks that
// have ended, of grants to our shards, and of grants yet to be made.
func (n *Node) countPendingRecords() int {
	seen := map[int]bool{}
	for key, outcome := range n.outcomes {
		if n.isUrgentOutcome(key, outcome) {
			seen[key.job] = true
		}
	}
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Unplaced == 0 {
			continue
		}
		for i := range job.Record.ActiveTasks {
			if task := &job.Record.ActiveTasks[i]; task.Machine == "" && n.mayActAsOwner(n.shards[task.Shard]) {
				seen[index] = true
				break
			}
		}
	}
	need := len(seen) + len(n.outcomes)/4
	if n.isLeader() {
		need += n.budget.pendingGrants
	}
	return need
}
