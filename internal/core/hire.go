package core

import (
	"cmp"
	"slices"
	"sort"

	"micaport/internal/wire"
)

// pool is a kind of machine at a place.
type pool struct {
	rig, zone int
	spot      bool
}

func (s *slot) pool() pool { return pool{s.rig, s.zone, s.spot} }

// cloudState is the leader's dealings with the cloud.
type cloudState struct {
	hireSeq  int
	hires    []*hiring
	booting  map[string]*bootingHost
	boots    []boot // the last that have come up
	backoff  map[pool]Time
	short    map[pool]Time // when it last had fewer machines than were asked for
	retiring map[string]bool
	idleFrom map[string]Time

	listAt   Time
	listing  bool
	flavAt   Time
	returnAt Time
	idleAt   Time
	giving   bool
	stray    map[string]Time // listed as running, but never heard of
}

type hiring struct {
	pool  pool
	req   wire.Hire
	sent  bool
	at    Time
	first Time
}

type bootingHost struct {
	pool  pool
	since Time
	seen  bool // in the machine list
}

func newCloudState() cloudState {
	return cloudState{
		booting: map[string]*bootingHost{}, backoff: map[pool]Time{}, short: map[pool]Time{}, retiring: map[string]bool{},
		idleFrom: map[string]Time{}, stray: map[string]Time{},
	}
}

func (n *Node) cloudCall(c Cloud, f func(Clouded)) {
	c.ID = n.id(func(in Result) {
		r := in.(Clouded)
		if r.Outcome != Unknown {
			n.cloudBadSince = 0
		} else if n.cloudBadSince == 0 {
			n.cloudBadSince = n.now
		}
		f(r)
	})
	// A process that stood still must not send what it decided before: another
	// leads by then, and the machines may be in use.
	c.Within = n.cloudRight()
	if n.fenced() {
		c.Term = n.leader.rev
	}
	n.emit(c)
}

// cloudTick keeps the machine types and the machine list up to date, and
// sends hires.
func (n *Node) cloudTick() {
	c := &n.leader.cloud
	tenure := n.leader.tenure
	if n.now >= c.flavAt {
		c.flavAt = n.now + 30*second
		if n.types == nil || n.rigsAt == 0 {
			c.flavAt = n.now + 2*second
		}
		n.cloudCall(Cloud{Flavors: true}, func(r Clouded) {
			if r.Outcome == OK && len(r.Flavors) > 0 {
				n.takeFlavors(r.Flavors)
			}
		})
	}
	if n.now >= c.listAt && !c.listing {
		c.listing = true
		n.cloudCall(Cloud{List: true}, func(r Clouded) {
			if n.leader.tenure != tenure {
				return
			}
			c.listing = false
			// A list of several pages may take a fifth of what the cloud
			// allows; most of it is for renting and returning.
			pages := Time(len(r.Machines)/500 + 1)
			c.listAt = n.now + max(4*second, n.cfg.ListLag/2, Time(float64((pages-1)*5*second)/max(n.cfg.CloudRPS, 0.1)))
			if r.Outcome == OK {
				n.takeList(r.Machines)
			}
		})
	}
	for _, h := range c.hires {
		if h.sent || n.now < h.at || n.cloudRight() == 0 {
			continue
		}
		h.sent = true
		n.cloudCall(Cloud{Hire: &h.req}, func(r Clouded) {
			if n.leader.tenure != tenure {
				return
			}
			n.hired(h, r)
		})
	}
}

// takeTypes takes the machine types, by name and by index.
func (n *Node) takeTypes(f []wire.Flavor) {
	n.types = f
	for i := range f {
		ix := n.rigs.Of(f[i].Name)
		for len(n.flavors) <= ix {
			n.flavors = append(n.flavors, nil)
		}
		n.flavors[ix] = &f[i]
	}
	n.leader.dirty = true
}

func (n *Node) takeFlavors(f []wire.Flavor) {
	changed := len(f) != len(n.types)
	for i := range f {
		changed = changed || n.types[i].Name != f[i].Name
	}
	n.takeTypes(f)
	n.rigsAt = n.now
	if changed || n.rigRev == 0 {
		for len(f) > 1 && !n.fits(&wire.Types{Rigs: f}) {
			f = f[:len(f)-1] // better some than none
		}
		n.commit(Bulk, []Cond{{wire.LeaderKey, n.leader.rev}},
			[]Write{{Key: wire.TypesKey, Value: &wire.Types{Rigs: f}}}, func(Committed) {})
	}
}

// noCapacityPause is how long a pool that had no more machines is left alone.
const noCapacityPause = 10 * second

func (n *Node) hired(h *hiring, r Clouded) {
	c := &n.leader.cloud
	done := true
	switch r.Outcome {
	case OK:
		for _, name := range r.Hosts {
			c.booting[name] = &bootingHost{pool: h.pool, since: n.now}
		}
		if len(r.Hosts) < h.req.Count {
			c.backoff[h.pool], c.short[h.pool] = n.now+noCapacityPause, n.now
		}
		n.log(LogInfo, "hired", "rig", h.req.Rig, "zone", h.req.Zone, "spot", h.req.Spot, "wanted", h.req.Count, "got", len(r.Hosts))
	case Full:
		c.backoff[h.pool], c.short[h.pool] = n.now+noCapacityPause, n.now
	case Refused:
		c.backoff[h.pool] = n.now + 2*second
	default:
		// It may have been carried out: only the same name tells.
		h.sent, h.at = false, n.now+second
		done = n.now-h.first > 60*second
	}
	if done {
		c.hires = slices.DeleteFunc(c.hires, func(x *hiring) bool { return x == h })
	}
	n.leader.dirty = true
}

// takeList takes the cloud's machine list, which lags.
func (n *Node) takeList(list []wire.Machine) {
	c := &n.leader.cloud
	listed := map[string]bool{}
	var back []string
	for i := range list {
		m := &list[i]
		listed[m.Name] = true
		ix := n.hostIx.Find(m.Name)
		known := ix >= 0 && n.hosts[ix].info.known
		if ix >= 0 && n.hosts[ix].returned {
			continue
		}
		r := n.flavor(n.rigs.Find(m.Rig))
		switch {
		case m.Status == wire.MachineFailed:
			back = append(back, m.Name)
		case known:
			c.cameUp(n, m.Name)
			delete(c.stray, m.Name)
		case m.Status == wire.MachineBooting:
			b := c.booting[m.Name]
			if b == nil {
				b = &bootingHost{pool: pool{n.rigs.Of(m.Rig), n.zones.Of(m.Zone), m.Spot}, since: n.now - Time(m.AgeS*float64(second))}
				c.booting[m.Name] = b
			}
			b.seen = true
			if r != nil {
				if _, giveUp := n.overdue(r, n.now-Time(m.AgeS*float64(second))); giveUp {
					back = append(back, m.Name)
				}
			}
		default:
			if c.stray[m.Name] == 0 {
				c.stray[m.Name] = n.now
			}
			if n.now-c.stray[m.Name] > n.cfg.Lease+10*second {
				back = append(back, m.Name)
			}
		}
	}
	for name, b := range c.booting {
		if !listed[name] && (b.seen || n.now-b.since > 3*n.cfg.ListLag+10*second) {
			delete(c.booting, name)
		}
	}
	for _, name := range back {
		c.retiring[name] = true
	}
}

// addExpected adds machines that are on their way, as room to plan with.
func (n *Node) addExpected(p *plan) {
	c := &n.leader.cloud
	names := make([]string, 0, len(c.booting))
	for name := range c.booting {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		b := c.booting[name]
		if ix := n.hostIx.Find(name); ix >= 0 && n.hosts[ix].info.known {
			c.cameUp(n, name)
			continue
		}
		if r := n.flavor(b.pool.rig); r != nil {
			if late, _ := n.overdue(r, b.since); late {
				continue // plan without it
			}
		}
		p.addExpectedMachine(b.pool)
	}
	for _, h := range c.hires {
		for range h.req.Count {
			p.addExpectedMachine(h.pool)
		}
	}
}

// addExpectedMachine adds a machine that is to come.
func (p *plan) addExpectedMachine(x pool) *slot {
	s := p.n.newSlot(x)
	if s != nil {
		p.expected.add(s)
		p.count[x]++
	}
	return s
}

func (n *Node) newSlot(x pool) *slot {
	r := n.flavor(x.rig)
	if r == nil {
		return nil
	}
	part := -1
	for _, y := range n.parts {
		if y.zone == x.zone {
			part = y.ix
			break
		}
	}
	return &slot{part: part, zone: x.zone, rig: x.rig, spot: x.spot, rigRef: r, cores: r.Cores, cards: r.Cards, mem: r.MemoryGB}
}

type pricedPool struct {
	pool
	price float64
}

// pools lists the pools that a job's tasks may be put on, cheapest first.
func (p *plan) pools(j *job) []pricedPool {
	n, sp := p.n, j.rec.Spec
	list := make([]pricedPool, 0, 8)
	for ix, r := range n.flavors {
		if r == nil || !fitsRig(sp, r) {
			continue
		}
		for _, name := range r.Zones {
			z := n.zones.Find(name)
			if z < 0 || n.partOf(z, "") < 0 {
				continue
			}
			if r.SpotPrice > 0 && j.allows(ix, z, true) {
				list = append(list, pricedPool{pool{ix, z, true}, r.SpotPrice})
			}
			if j.allows(ix, z, false) {
				list = append(list, pricedPool{pool{ix, z, false}, r.Price})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b pricedPool) int {
		if a.price != b.price {
			return cmp.Compare(a.price, b.price)
		}
		return cmp.Compare(p.count[a.pool], p.count[b.pool])
	})
	return list
}

func (p *plan) open(x pool) bool { return p.n.now >= p.n.leader.cloud.backoff[x] }

// canHire tells whether machines for a job can be had. A pool that had none a
// while ago is asked again and again, but not counted on: in the moment of each
// try the room that is being gathered on machines in use would be let go.
func (p *plan) canHire(j *job, zone int) bool {
	for _, x := range p.pools(j) {
		at, short := p.n.leader.cloud.short[x.pool]
		if (zone < 0 || x.zone == zone) && p.open(x.pool) && !(short && p.n.now-at < shortFor) {
			return true
		}
	}
	return false
}

// shortFor is how long a pool without machines is not counted on.
const shortFor = 60 * second

// hireFor adds a machine to be hired for a task, if there may be one.
func (p *plan) hireFor(w *queuedJob, ok func(*slot) bool) *slot {
	n := p.n
	if w.j.suspect || n.cfg.MaxMachines > 0 && len(p.up.all)+len(p.expected.all) >= n.cfg.MaxMachines {
		return nil
	}
	for _, x := range p.pools(w.j) {
		if !p.open(x.pool) {
			continue
		}
		if s := n.newSlot(x.pool); s != nil && ok(s) {
			p.hires[x.pool]++
			return p.addExpectedMachine(x.pool)
		}
	}
	return nil
}

// hireAndReturn sends what the plan asks for, and returns machines that are
// not needed.
func (n *Node) hireAndReturn(p *plan, idle map[*slot]bool) {
	c := &n.leader.cloud
	var ask []pool
	for x := range p.hires {
		ask = append(ask, x)
	}
	sort.Slice(ask, func(a, b int) bool {
		if p.hires[ask[a]] != p.hires[ask[b]] {
			return p.hires[ask[a]] > p.hires[ask[b]] // a call rents 50 at most
		}
		if ask[a].zone != ask[b].zone {
			return ask[a].zone < ask[b].zone
		}
		if ask[a].rig != ask[b].rig {
			return ask[a].rig < ask[b].rig
		}
		return ask[a].spot && !ask[b].spot
	})
	// Calls are scarce: what waits for one is better planned anew and asked
	// for in larger numbers.
	room := max(2, int(2*n.cfg.CloudRPS)) - len(c.hires)
	if n.cloudRight() == 0 {
		room = 0 // what can't be sent yet is planned anew until it can
	}
	for ; room > 0 && len(ask) > 0; room-- {
		x := ask[0]
		if len(p.up.all) == 0 {
			// Nothing runs yet. Boot times differ by more than a factor of
			// two, so some more machines mean that the first are up sooner.
			p.hires[x] += min((p.hires[x]+1)/2, extraBoots)
		}
		k := min(p.hires[x], 50)
		c.hires = append(c.hires, &hiring{pool: x, first: n.now,
			req: wire.Hire{Name: n.hireName(), Rig: n.rigs.Name(x.rig), Zone: n.zones.Name(x.zone), Spot: x.spot, Count: k}})
		if p.hires[x] -= k; p.hires[x] == 0 {
			ask = ask[1:]
		} else {
			ask = append(ask[1:], x)
		}
	}
	if n.now >= c.idleAt {
		c.idleAt = n.now + second
		n.returnIdle(p, idle)
	}
}

// extraBoots bounds how many machines more are asked for in one call while
// nothing runs.
const extraBoots = 10
