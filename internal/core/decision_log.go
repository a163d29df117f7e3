package core

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"micaport/internal/wire"
)

// What only the leader knows, told to its standby and taken over from it. All of it is a
// hint: what the records or the owners contradict is dropped.

const (
	// publishPause lies between two looks at what the leader knows, and publishPauseEach is
	// how much more for each live job and each fact: a look at 4,000 facts takes some
	// milliseconds, of which a controller with a tenth of a core has few.
	publishPause     = 200 * time.Millisecond
	publishPauseEach = 100 * time.Microsecond
)

// publishDecisions tells the standby what has changed of what only we know.
func (n *Node) publishDecisions() {
	s := &n.standby
	if !n.fenced() {
		return
	}
	s.publisher.Direct(s.designated, n.leader.rev)
	if s.designated == "" || n.now < s.publishAt {
		return
	}
	facts := n.leaderFacts()
	s.publishAt = n.now + publishPause + Time(len(n.live)+len(facts))*publishPauseEach
	s.publisher.Publish(facts)
	if to, m := s.publisher.Next(n.now, n.cfg.Self, n.cfg.Life); m != nil {
		n.emit(SendLog{To: to, Msg: m})
	}
}

// logReceived takes in a message of the leader's log.
func (n *Node) logReceived(x LogReceived) {
	ack := wire.DecisionLogAck{Resync: true}
	if x.Msg != nil {
		ack = n.standby.replica.Take(n.now, n.standby.follower.Claim(), x.Msg)
	}
	n.emit(Reply{Req: x.Req, Status: http.StatusOK, Body: ack})
}

// factTime is a time in a fact, in milliseconds; 0 is none.
func factTime(t Time) int64 { return max(1, t.Milliseconds()) }

// timeOf is the reverse of factTime.
func timeOf(f *wire.Fact) Time { return Time(f.At) * time.Millisecond }

// leaderFacts lists what only the leader knows.
func (n *Node) leaderFacts() []wire.Fact {
	facts := n.cloudFacts()
	for _, k := range n.leader.kept {
		facts = append(facts, wire.Fact{Kind: wire.FactKept, Name: k.Host, Ref: k.Ref})
	}
	for _, r := range n.leader.returned {
		if n.now-r.at <= returnedFor {
			facts = append(facts, wire.Fact{Kind: wire.FactReturned, Name: r.name, At: factTime(r.at)})
		}
	}
	for _, index := range n.live {
		facts = n.jobFacts(facts, n.jobs[index])
	}
	return facts
}

// Decisions lists what the controller knows as the leader alone, with times of its own
// steady clock; nothing if it does not lead.
func (n *Node) Decisions() []wire.Fact {
	if !n.leads() {
		return nil
	}
	return n.leaderFacts()
}

// jobFacts adds what only the leader knows of a job.
func (n *Node) jobFacts(facts []wire.Fact, j *job) []wire.Fact {
	if j.blockedSince != 0 { // it may be before the start of this process
		facts = append(facts, wire.Fact{Kind: wire.FactBlocked, Name: j.ref, At: cmp.Or(j.blockedSince.Milliseconds(), -1)})
	}
	if j.gangZone >= 0 && j.blockedSince != 0 {
		facts = append(facts, wire.Fact{Kind: wire.FactGangZone, Name: j.ref, Zone: n.zones.Name(j.gangZone)})
	}
	if j.place.since != 0 {
		facts = append(facts, wire.Fact{Kind: wire.FactPlace, Name: j.ref, At: cmp.Or(j.place.since.Milliseconds(), -1), Count: j.place.denials})
	}
	if j.preemptAt > n.now {
		facts = append(facts, wire.Fact{Kind: wire.FactPreemptedAt, Name: j.ref, At: factTime(j.preemptAt)})
	}
	return facts
}

// poolFact is a fact about a pool, or a machine or hire of it.
func (n *Node) poolFact(kind wire.FactKind, name string, x pool, at Time) wire.Fact {
	f := wire.Fact{Kind: kind, Name: name, At: factTime(at), Rig: n.rigs.Name(x.rig), Zone: n.zones.Name(x.zone), Spot: x.spot}
	if name == "" {
		f.Name = f.Rig + "/" + f.Zone
		if x.spot {
			f.Name += "/spot"
		}
	}
	return f
}

// poolOf is the pool of a fact, if it is one of ours.
func (n *Node) poolOf(f *wire.Fact) (x pool, known bool) {
	x = pool{n.rigs.Find(f.Rig), n.zones.Find(f.Zone), f.Spot}
	return x, x.rig >= 0 && x.zone >= 0
}

// cloudFacts lists the leader's dealings with the cloud.
func (n *Node) cloudFacts() []wire.Fact {
	c := &n.leader.cloud
	var facts []wire.Fact
	for name, b := range c.booting {
		f := n.poolFact(wire.FactBooting, name, b.pool, b.since)
		f.Seen = b.seen
		facts = append(facts, f)
	}
	for _, h := range c.hires {
		f := n.poolFact(wire.FactHire, h.req.Name, h.pool, h.first)
		f.Count = h.req.Count
		facts = append(facts, f)
	}
	for _, b := range c.boots {
		facts = append(facts, wire.Fact{Kind: wire.FactBoot, Name: b.name, At: factTime(b.rented), Ratio: b.ratio})
	}
	for x, at := range c.backoff {
		if at > n.now {
			facts = append(facts, n.poolFact(wire.FactBackoff, "", x, at))
		}
	}
	for x, at := range c.short {
		if n.now-at < shortFor {
			facts = append(facts, n.poolFact(wire.FactShort, "", x, at))
		}
	}
	for name, at := range c.idleFrom {
		facts = append(facts, wire.Fact{Kind: wire.FactIdle, Name: name, At: factTime(at)})
	}
	for name := range c.retiring {
		facts = append(facts, wire.Fact{Kind: wire.FactRetiring, Name: name})
	}
	for name, at := range c.stray {
		facts = append(facts, wire.Fact{Kind: wire.FactUnheard, Name: name, At: factTime(at)})
	}
	return facts
}

// adoptDecisions goes on from what the leader of a term told us as its standby.
func (n *Node) adoptDecisions(term uint64) {
	facts := n.standby.replica.Of(term)
	if len(facts) == 0 {
		return
	}
	slices.SortFunc(facts, func(a, b wire.Fact) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	for _, index := range n.live {
		n.jobs[index].blockedSince, n.jobs[index].place = 0, gangPlace{} // noted when we last led
	}
	adopted := 0
	for i := range facts {
		if n.adopt(&facts[i]) {
			adopted++
		}
	}
	c := &n.leader.cloud
	slices.SortFunc(c.boots, func(a, b boot) int { return cmp.Compare(a.rented, b.rented) })
	n.log(LogInfo, "going on from the last leader's decisions", "term", term, "facts", len(facts), "adopted", adopted)
}

// adopt takes in one fact, unless it is contradicted.
func (n *Node) adopt(f *wire.Fact) bool {
	switch f.Kind {
	case wire.FactHire, wire.FactBackoff, wire.FactShort:
		return n.adoptPool(f)
	case wire.FactBlocked, wire.FactGangZone, wire.FactPreemptedAt, wire.FactPlace:
		return n.adoptJob(f)
	}
	return n.adoptMachine(f)
}

// adoptPool takes in a fact about a pool or a hire. A hire under way is repeated under its
// own name, which the cloud answers as it did the first time.
func (n *Node) adoptPool(f *wire.Fact) bool {
	c := &n.leader.cloud
	x, known := n.poolOf(f)
	if !known {
		return false
	}
	switch f.Kind {
	case wire.FactHire:
		if f.Count <= 0 {
			return false
		}
		c.hires = append(c.hires, &hiring{pool: x, first: timeOf(f), at: n.now,
			req: wire.Hire{Name: f.Name, Rig: f.Rig, Zone: f.Zone, Spot: f.Spot, Count: f.Count}})
	case wire.FactBackoff:
		c.backoff[x] = timeOf(f)
	case wire.FactShort:
		c.short[x] = timeOf(f)
	}
	return true
}

// adoptJob takes in a fact about a job that still waits.
func (n *Node) adoptJob(f *wire.Fact) bool {
	index := n.refs.Find(f.Name)
	if index < 0 || n.jobs[index].rec == nil || n.jobs[index].rec.State != wire.Live {
		return false
	}
	j := n.jobs[index]
	switch f.Kind {
	case wire.FactBlocked:
		j.blockedSince = cmp.Or(timeOf(f), -1)
	case wire.FactGangZone:
		zone := n.zones.Find(f.Zone)
		if zone < 0 {
			return false
		}
		j.gangZone = zone
	case wire.FactPlace:
		j.place = gangPlace{cmp.Or(timeOf(f), -1), f.Count}
	case wire.FactPreemptedAt:
		j.preemptAt = timeOf(f)
	}
	return true
}

// adoptMachine takes in a fact about a machine that is not known to be gone.
func (n *Node) adoptMachine(f *wire.Fact) bool {
	c := &n.leader.cloud
	var h *host
	if index := n.hostIx.Find(f.Name); index >= 0 {
		h = n.hosts[index]
	}
	switch f.Kind {
	case wire.FactBoot:
		c.boots = append(c.boots, boot{f.Name, timeOf(f), f.Ratio})
		return true
	case wire.FactReturned:
		n.hostOf(f.Name).returned = true
		n.leader.returned = append(n.leader.returned, returned{f.Name, timeOf(f)})
		return true
	}
	if h != nil && h.returned {
		return false
	}
	switch f.Kind {
	case wire.FactBooting:
		x, known := n.poolOf(f)
		if !known || h != nil && h.info.known {
			return false
		}
		c.booting[f.Name] = &bootingHost{pool: x, since: timeOf(f), seen: f.Seen}
	case wire.FactIdle:
		c.idleFrom[f.Name] = timeOf(f)
	case wire.FactRetiring:
		if h != nil && len(h.on) > 0 {
			return false
		}
		c.retiring[f.Name] = true
	case wire.FactUnheard:
		if h != nil && h.info.known {
			return false
		}
		c.stray[f.Name] = timeOf(f)
	case wire.FactKept:
		if n.refs.Find(f.Ref) < 0 || h == nil {
			return false
		}
		n.leader.kept = append(n.leader.kept, wire.Kept{Host: f.Name, Ref: f.Ref})
	default:
		return false // of a later version
	}
	return true
}
