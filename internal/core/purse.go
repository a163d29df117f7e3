package core

// purse is what we may still put into the state service now. The service
// allows few puts, for all controllers together; a tenth is left for what
// can't wait, which are claims, submissions and withdrawals. The rest is
// shared by need: each controller tells how many records it has to write, and
// takes the share that this gives it. What is decided is thus written at once,
// before others have changed the records that it rests on.
type purse struct {
	left   float64
	at     Time
	rate   float64
	rateAt Time
	behind float64 // seconds that all controllers would take for what waits to be written
	seen   float64 // puts that our watch has shown since usedAt
	usedAt Time
	used   float64 // puts a second by all, over the last while

	seenUsers int     // submissions and withdrawals among those
	users     float64 // of these a second, over the last while
	lowUntil  Time    // until when the rate to come is kept to
	lowFor    Time
	need      int // records that wait to be written by us
	leader    int // of these, grants that the last pass of the leader found no put for
}

// limited notes that the service refused puts as too many: the rate that it is to
// allow from some moment on may hold already. It is kept to for longer each time.
func (p *purse) limited(now Time) {
	if now < p.lowUntil {
		return
	}
	p.lowFor = max(20*second, 2*p.lowFor)
	p.lowUntil = now + p.lowFor
}

// writeRPS is how many puts a second the service takes, as far as is seen.
func (n *Node) writeRPS() float64 {
	if next := n.cfg.NextWriteRPS; next > 0 && n.now < n.puts.lowUntil {
		return min(next, n.cfg.WriteRPS)
	}
	return n.cfg.WriteRPS
}

// forBulk is the part of the puts that is shared by need: nine tenths, and less
// when users submit and withdraw a lot, or they would be refused.
func (n *Node) forBulk() float64 {
	return max(0.5, min(0.9, 0.95-1.25*n.puts.users/n.writeRPS()))
}

// mayPut is how many puts we may send now.
func (n *Node) mayPut() int {
	if n.writeRPS() <= 0 {
		return n.cfg.TxnOps
	}
	p := &n.puts
	if n.now >= p.rateAt {
		p.rateAt = n.now + 200*1e6
		p.need = n.countNeed()
		p.rate = n.putRate()
	}
	// All together stay within the burst of a second that the service allows.
	most := max(float64(n.cfg.BatchPuts), 1.5*n.writeRPS()/float64(len(n.cfg.Members))) + 1
	p.left = min(p.left+p.rate*(n.now-p.at).Seconds(), most)
	p.at = n.now
	return int(p.left)
}

// putRate is our share of the puts a second.
func (n *Node) putRate() float64 {
	mine := 1 + float64(n.puts.need)
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
	all := n.writeRPS() * n.forBulk()
	n.puts.behind = (total - float64(len(n.cfg.Members))) / all
	return max(all*mine/total, all/float64(3*len(n.cfg.Members)))
}

// scarcity goes from 0, when puts are to be had at once, to 1, when what waits
// takes two seconds and more or when well over half of all puts are in use:
// then it pays to write less, at some delay.
func (n *Node) scarcity() float64 {
	if n.writeRPS() <= 0 {
		return 0
	}
	return max(0, min(1, max(n.puts.behind/2, (n.puts.used/n.writeRPS()-0.25)*3)))
}

// sawPuts counts what the watch shows.
func (n *Node) sawPuts(k int) {
	p := &n.puts
	p.seen += float64(k)
	if d := (n.now - p.usedAt).Seconds(); d >= 2 {
		p.used += (p.seen/d - p.used) * min(1, d/8)
		p.users += (float64(p.seenUsers)/d - p.users) * min(1, d/8)
		p.seen, p.seenUsers, p.usedAt = 0, 0, n.now
	}
}

// countNeed counts the records that wait to be written by us: of tasks that
// have ended, of grants to our parts, and of grants yet to be made.
func (n *Node) countNeed() int {
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
		need += n.puts.leader
	}
	return need
}
