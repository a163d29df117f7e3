package core

import (
	"slices"
	"sort"

	"micaport/internal/wire"
)

// pool is a kind of machine at a place.
type pool struct {
	rig, zone string
	spot      bool
}

// cloudState is the leader's dealings with the cloud.
type cloudState struct {
	hireSeq  int
	hires    []*hiring
	booting  map[string]*bootingHost
	backoff  map[pool]Time
	retiring map[string]bool
	idleFrom map[string]Time

	listAt   Time
	listing  bool
	flavAt   Time
	returnAt Time
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
		booting: map[string]*bootingHost{}, backoff: map[pool]Time{}, retiring: map[string]bool{},
		idleFrom: map[string]Time{}, stray: map[string]Time{},
	}
}

func (n *Node) cloudCall(c Cloud, f func(Clouded)) {
	c.ID = n.id(func(in any) {
		r := in.(Clouded)
		if r.Outcome != Unknown {
			n.cloudBad = 0
		} else if n.cloudBad == 0 {
			n.cloudBad = n.now
		}
		f(r)
	})
	n.emit(c)
}

// cloudTick keeps the machine types and the machine list up to date, and
// sends hires.
func (n *Node) cloudTick() {
	c := &n.leader.cloud
	term := n.leader.rev
	if n.now >= c.flavAt {
		c.flavAt = n.now + 30*second
		if n.rigs == nil || n.rigsAt == 0 {
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
			if n.leader.rev != term {
				return
			}
			c.listing = false
			c.listAt = n.now + max(4*second, n.cfg.ListLag/2)
			if r.Outcome == OK {
				n.takeList(r.Machines)
			}
		})
	}
	for _, h := range c.hires {
		if h.sent || n.now < h.at {
			continue
		}
		h.sent = true
		n.cloudCall(Cloud{Hire: &h.req}, func(r Clouded) {
			if n.leader.rev != term {
				return
			}
			n.hired(h, r)
		})
	}
}

func (n *Node) takeFlavors(f []wire.Flavor) {
	changed := len(f) != len(n.rigs)
	for i := range f {
		changed = changed || n.rigs[i].Name != f[i].Name
	}
	n.rigs, n.rigsAt = f, n.now
	if changed || n.rigRev == 0 {
		n.commit(Bulk, []Cond{{wire.LeaderKey, n.leader.rev}},
			[]Write{{Key: wire.TypesKey, Value: &wire.Types{Rigs: f}}}, func(Committed) {})
	}
}

func (n *Node) hired(h *hiring, r Clouded) {
	c := &n.leader.cloud
	done := true
	switch r.Outcome {
	case OK:
		for _, name := range r.Hosts {
			c.booting[name] = &bootingHost{pool: h.pool, since: n.now}
		}
		if len(r.Hosts) < h.req.Count {
			c.backoff[h.pool] = n.now + 10*second
		}
		n.log(1, "hired", "rig", h.pool.rig, "zone", h.pool.zone, "spot", h.pool.spot, "wanted", h.req.Count, "got", r.Hosts)
	case Full:
		c.backoff[h.pool] = n.now + 10*second
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
		known := ix >= 0 && n.hosts[ix].info.Name != ""
		if ix >= 0 && n.hosts[ix].returned {
			continue
		}
		r := n.rigOf(m.Rig)
		switch {
		case m.Status == wire.MachineFailed:
			back = append(back, m.Name)
		case known:
			delete(c.booting, m.Name)
			delete(c.stray, m.Name)
		case m.Status == wire.MachineBooting:
			b := c.booting[m.Name]
			if b == nil {
				b = &bootingHost{pool: pool{m.Rig, m.Zone, m.Spot}, since: n.now - Time(m.AgeS*float64(second))}
				c.booting[m.Name] = b
			}
			b.seen = true
			if r != nil && m.AgeS > giveUpBoot*r.BootS+5 {
				back = append(back, m.Name)
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

// A machine boots in up to one and a half times its type's boot time. One that
// takes longer may take several times as long or never come: it is planned
// without from then on, and returned a little later if it still has not come,
// as it costs money and takes the place of another.
const (
	lateBoot   = 1.6
	giveUpBoot = 2.0
)

// hopedFor lists machines that are on their way, as room to plan with.
func (n *Node) hopedFor() []*slot {
	c := &n.leader.cloud
	var out []*slot
	add := func(p pool) {
		if s := n.newSlot(p); s != nil {
			out = append(out, s)
		}
	}
	names := make([]string, 0, len(c.booting))
	for name := range c.booting {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		b := c.booting[name]
		if ix := n.hostIx.Find(name); ix >= 0 && n.hosts[ix].info.Name != "" {
			delete(c.booting, name)
			continue
		}
		if r := n.rigOf(b.pool.rig); r != nil && (n.now-b.since).Seconds() > lateBoot*r.BootS+3 {
			continue // late: plan without it
		}
		add(b.pool)
	}
	for _, h := range c.hires {
		for range h.req.Count {
			add(h.pool)
		}
	}
	return out
}

func (n *Node) newSlot(p pool) *slot {
	r := n.rigOf(p.rig)
	if r == nil {
		return nil
	}
	part := -1
	for _, x := range n.parts {
		if x.zone == p.zone {
			part = x.ix
			break
		}
	}
	return &slot{part: part, zone: p.zone, rig: p.rig, spot: p.spot, rigRef: r, cores: r.Cores, cards: r.Cards, mem: r.MemoryGB}
}

// pools lists the pools that a task may be put on, cheapest first.
func (p *plan) pools(sp *wire.Spec) []pool {
	n := p.n
	type priced struct {
		pool
		price float64
	}
	var list []priced
	for i := range n.rigs {
		r := &n.rigs[i]
		if !rigAllowed(sp, r.Name) || !fitsRig(sp, r) {
			continue
		}
		for _, z := range r.Zones {
			if sp.Zone != "" && sp.Zone != z || n.partOf(z, "") < 0 {
				continue
			}
			if sp.Spot && r.SpotPrice > 0 {
				list = append(list, priced{pool{r.Name, z, true}, r.SpotPrice})
			}
			list = append(list, priced{pool{r.Name, z, false}, r.Price})
		}
	}
	if p.count == nil { // profiled: counting anew for each task took most of a pass
		p.count = map[pool]int{}
		for _, l := range [][]*slot{p.slots, p.hope} {
			for _, s := range l {
				p.count[pool{s.rig, s.zone, s.spot}]++
			}
		}
	}
	sort.SliceStable(list, func(a, b int) bool {
		if list[a].price != list[b].price {
			return list[a].price < list[b].price
		}
		return p.count[list[a].pool] < p.count[list[b].pool]
	})
	out := make([]pool, len(list))
	for i := range list {
		out[i] = list[i].pool
	}
	return out
}

func (p *plan) open(x pool) bool { return p.n.now >= p.n.leader.cloud.backoff[x] }

func (p *plan) canHire(sp *wire.Spec, zone string) bool {
	for _, x := range p.pools(sp) {
		if (zone == "" || x.zone == zone) && p.open(x) {
			return true
		}
	}
	return false
}

// hireFor adds a machine to be hired for a task, if there may be one.
func (p *plan) hireFor(w *want, ok func(*slot) bool) *slot {
	n := p.n
	if n.cfg.MaxMachines > 0 && len(p.slots)+len(p.hope) >= n.cfg.MaxMachines {
		return nil
	}
	for _, x := range p.pools(w.j.rec.Spec) {
		if !p.open(x) {
			continue
		}
		if s := n.newSlot(x); s != nil && ok(s) {
			p.hires[x]++
			p.count[x]++
			p.hope = append(p.hope, s)
			return s
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
		if ask[a].zone != ask[b].zone {
			return ask[a].zone < ask[b].zone
		}
		if ask[a].rig != ask[b].rig {
			return ask[a].rig < ask[b].rig
		}
		return ask[a].spot && !ask[b].spot
	})
	for _, x := range ask {
		if slices.ContainsFunc(c.hires, func(h *hiring) bool { return h.pool == x }) {
			continue
		}
		if len(p.slots) == 0 {
			// Nothing runs yet. Boot times differ by more than a factor of
			// two, so some more machines mean that the first are up sooner.
			p.hires[x] += (p.hires[x] + 1) / 2
		}
		c.hires = append(c.hires, &hiring{pool: x, first: n.now,
			req: wire.Hire{Name: n.hireName(), Rig: x.rig, Zone: x.zone, Spot: x.spot, Count: min(p.hires[x], 50)}})
	}
	n.returnIdle(p, idle)
}

// returnIdle picks machines that stood idle, are sick or are lost, and gives
// them back once their owner has let go of them.
func (n *Node) returnIdle(p *plan, idle map[*slot]bool) {
	c := &n.leader.cloud
	spares := map[pool]int{}
	for _, s := range p.slots {
		h := s.h
		unused := idle[s] && s.cards == s.rigRef.Cards && s.cores == s.rigRef.Cores
		if !unused {
			delete(c.idleFrom, h.name)
			continue
		}
		if _, seen := c.idleFrom[h.name]; !seen {
			c.idleFrom[h.name] = n.now
		}
		if s.errors > 0 {
			// It failed a job and nothing has succeeded since: no spare.
			if n.now-c.idleFrom[h.name] > min(10*second, n.cfg.IdleReturn) {
				c.retiring[h.name] = true
			}
			continue
		}
		x := pool{h.rig, h.zone, h.spot}
		if spares[x]++; spares[x] <= n.cfg.Spares {
			continue
		}
		if n.now-c.idleFrom[h.name] > n.cfg.IdleReturn {
			c.retiring[h.name] = true
		}
	}
	for _, h := range n.hosts {
		if h.returned || h.info.Name == "" || h.part < 0 {
			continue
		}
		if h.info.Lost || h.info.Sick && len(h.jobs) == 0 {
			c.retiring[h.name] = true
		} else if c.retiring[h.name] && len(h.jobs) > 0 && !h.retiring {
			delete(c.retiring, h.name) // its owner has placed something meanwhile
		}
	}
	if c.giving || n.now < c.returnAt {
		return
	}
	var give []string
	for name := range c.retiring {
		ix := n.hostIx.Find(name)
		if ix >= 0 && n.hosts[ix].returned {
			delete(c.retiring, name)
			continue
		}
		if ix >= 0 && n.hosts[ix].info.Name != "" {
			h := n.hosts[ix]
			if !h.info.Lost && !(h.retiring && len(h.jobs) == 0) {
				continue
			}
		}
		give = append(give, name)
	}
	if len(give) == 0 {
		return
	}
	sort.Strings(give)
	give = give[:min(len(give), 100)]
	c.giving = true
	term := n.leader.rev
	n.cloudCall(Cloud{Return: give}, func(r Clouded) {
		if r.Outcome == OK {
			for _, name := range give {
				n.hostOf(name).returned = true
			}
		}
		if n.leader.rev != term {
			return
		}
		c.giving = false
		if r.Outcome != OK {
			c.returnAt = n.now + 2*second
			return
		}
		for _, name := range give {
			delete(c.retiring, name)
			delete(c.booting, name)
			delete(c.stray, name)
			n.leader.returned = append(n.leader.returned, name)
		}
		if over := len(n.leader.returned) - 200; over > 0 {
			n.leader.returned = n.leader.returned[over:]
		}
		n.log(1, "returned", "hosts", give)
		n.gossip(true)
	})
}

// retireList names the machines that owners are to empty for return.
func (l *leaderState) retireList(n *Node) []string {
	var out []string
	for name := range l.cloud.retiring {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
