package core

import "time"

// writeBudget is what we may still put into the state service now. The service
// allows few puts, for all controllers together; a tenth is left for what
// can't wait, which are claims, submissions and withdrawals. The rest is
// shared by need: each controller tells how many records it has to write, and
// takes the share that this gives it. What is decided is thus written at once,
// before others have changed the records that it rests on.
type writeBudget struct {
	available   float64
	availableAt Time
	rate        float64
	rateAt      Time
	backlogS    float64 // seconds that all controllers would take for what waits to be written
	seenWrites  float64 // puts that our watch has shown since usedAt
	measuredAt  Time
	writesPerS  float64 // puts a second by all, over the last while

	seenUserWrites int     // submissions and withdrawals among those
	userWritesPerS float64 // of these a second, over the last while
	reducedUntil   Time    // until when the rate to come is kept to
	reducedFor     Time
	pendingRecords int // records that wait to be written by us
	pendingGrants  int // of these, grants that the last pass of the leader found no put for
}

// noteRefusal notes that the service refused puts as too many: the rate that it is to
// allow from some moment on may hold already. It is kept to for longer each time.
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

// bulkShare is the part of the puts that is shared by need: nine tenths, and less
// when users submit and withdraw a lot, or they would be refused.
func (n *Node) bulkShare() float64 {
	return max(0.5, min(0.9, 0.95-1.25*n.budget.userWritesPerS/n.writeRPS()))
}

// availableWrites is how many puts we may send now.
func (n *Node) availableWrites() int {
	if n.writeRPS() <= 0 {
		return n.cfg.TxnOps
	}
	p := &n.budget
	if n.now >= p.rateAt {
		p.rateAt = n.now + 200*time.Millisecond
		p.pendingRecords = n.countPendingRecords()
		p.rate = n.ownWriteRate()
	}
	// All together stay within the burst of a second that the service allows.
	most := max(float64(n.cfg.BatchPuts), 1.5*n.writeRPS()/float64(len(n.cfg.Members))) + 1
	p.available = min(p.available+p.rate*(n.now-p.availableAt).Seconds(), most)
	p.availableAt = n.now
	return int(p.available)
}

// ownWriteRate is our share of the puts a second.
func (n *Node) ownWriteRate() float64 {
	mine := 1 + float64(n.budget.pendingRecords)
	total := mine
	for _, m := range n.cfg.Members {
		if p := n.peers[m.Label]; m.Label == n.cfg.Self {
			continue
		} else if p != nil && n.now-p.at < 5*second {
			total += 1 + float64(p.msg.Need)
		} else {
			total++
		}
	}
	all := n.writeRPS() * n.bulkShare()
	n.budget.backlogS = (total - float64(len(n.cfg.Members))) / all
	return max(all*mine/total, all/float64(3*len(n.cfg.Members)))
}

// scarcity goes from 0, when puts are to be had at once, to 1, when what waits
// takes two seconds and more or when well over half of all puts are in use:
// then it pays to write less, at some delay.
func (n *Node) scarcity() float64 {
	if n.writeRPS() <= 0 {
		return 0
	}
	return max(0, min(1, max(n.budget.backlogS/2, (n.budget.writesPerS/n.writeRPS()-0.25)*3)))
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
// have ended, of grants to our parts, and of grants yet to be made.
func (n *Node) countPendingRecords() int {
	seen := map[int]bool{}
	for k, res := range n.results {
		if n.pressing(k, res) {
			seen[k.job] = true
		}
	}
	for _, jx := range n.live {
		j := n.jobs[jx]
		if j.unplaced == 0 {
			continue
		}
		for i := range j.rec.Active {
			if a := &j.rec.Active[i]; a.Host == "" && n.valid(n.parts[a.Part]) {
				seen[jx] = true
				break
			}
		}
	}
	need := len(seen) + len(n.results)/4
	if n.leads() {
		need += n.budget.pendingGrants
	}
	return need
}
