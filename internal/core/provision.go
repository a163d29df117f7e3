package core

import (
	"cmp"
	"slices"
	"sort"

	"micaport/internal/wire"
)

// machinePool is a kind of machine at a place.
type machinePool struct {
	machineType, zone int
	spot              bool
}

func (s *slot) pool() machinePool { return machinePool{s.machineType, s.zone, s.spot} }

// autoscaler is the leader's dealings with the cloud.
type autoscaler struct {
	requestSequence int
	provisions      []*provisioning
	booting         map[string]*bootingMachine
	recentBoots     []boot // the last that have come up
	retryAt         map[machinePool]Time
	shortageAt      map[machinePool]Time // when it last had fewer machines than were asked for
	draining        map[string]bool
	idleSince       map[string]Time

	listAt          Time
	listing         bool
	typesAt         Time
	deprovisionAt   Time
	scaleInAt       Time
	deprovisioning  bool
	unreportedSince map[string]Time // listed as running, but never heard of
}

type provisioning struct {
	pool      machinePool
	request   wire.ProvisionRequest
	sent      bool
	sendAt    Time
	decidedAt Time
}

type bootingMachine struct {
	pool          machinePool
	provisionedAt Time
	listed        bool // in the machine list
}

func newAutoscaler() autoscaler {
	return autoscaler{
		booting: map[string]*bootingMachine{}, retryAt: map[machinePool]Time{}, shortageAt: map[machinePool]Time{}, draining: map[string]bool{},
		idleSince: map[string]Time{}, unreportedSince: map[string]Time{},
	}
}

func (n *Node) cloudCall(c CallCloud, f func(CloudAnswered)) {
	c.ID = n.onResult(func(in Result) {
		r := in.(CloudAnswered)
		if r.Outcome != Unknown {
			n.cloudUnreachableSince = 0
		} else if n.cloudUnreachableSince == 0 {
			n.cloudUnreachableSince = n.now
		}
		f(r)
	})
	// A process that stood still must not send what it decided before: another
	// leads by then, and the machines may be in use.
	c.ValidFor = n.cloudCallTime()
	if n.fenced() {
		c.Term = n.leader.term
	}
	n.emit(c)
}

// runCloudCalls keeps the machine types and the machine list up to date, and
// sends provisioning requests.
func (n *Node) runCloudCalls() {
	c := &n.leader.autoscaler
	tenure := n.leader.tenure
	if n.now >= c.typesAt {
		c.typesAt = n.now + 30*second
		if n.offeredTypes == nil || n.typesFetchedAt == 0 {
			c.typesAt = n.now + 2*second
		}
		n.cloudCall(CallCloud{ListTypes: true}, func(r CloudAnswered) {
			if r.Outcome == OK && len(r.MachineTypes) > 0 {
				n.updateMachineTypes(r.MachineTypes)
			}
		})
	}
	if n.now >= c.listAt && !c.listing {
		c.listing = true
		n.cloudCall(CallCloud{ListMachines: true}, func(r CloudAnswered) {
			if n.leader.tenure != tenure {
				return
			}
			c.listing = false
			// A list of several pages may take a fifth of what the cloud
			// allows; most of it is for renting and returning.
			pages := Time(len(r.Machines)/500 + 1)
			c.listAt = n.now + max(4*second, n.cfg.CloudListLag/2, Time(float64((pages-1)*5*second)/max(n.cfg.CloudRPS, 0.1)))
			if r.Outcome == OK {
				n.reconcileMachineList(r.Machines)
			}
		})
	}
	for _, h := range c.provisions {
		if h.sent || n.now < h.sendAt || n.cloudCallTime() == 0 {
			continue
		}
		h.sent = true
		n.cloudCall(CallCloud{Provision: &h.request}, func(r CloudAnswered) {
			if n.leader.tenure != tenure {
				return
			}
			n.provisionAnswered(h, r)
		})
	}
}

// setMachineTypes takes the machine types, by name and by index.
func (n *Node) setMachineTypes(f []wire.MachineType) {
	n.offeredTypes = f
	for i := range f {
		ix := n.names.MachineTypes.Of(f[i].Name)
		for len(n.machineTypes) <= ix {
			n.machineTypes = append(n.machineTypes, nil)
		}
		n.machineTypes[ix] = &f[i]
	}
	n.leader.planNeeded = true
}

func (n *Node) updateMachineTypes(f []wire.MachineType) {
	changed := len(f) != len(n.offeredTypes)
	for i := range f {
		changed = changed || n.offeredTypes[i].Name != f[i].Name
	}
	n.setMachineTypes(f)
	n.typesFetchedAt = n.now
	if changed || n.typesRevision == 0 {
		for len(f) > 1 && !n.valueFits(&wire.MachineTypeCache{Types: f}) {
			f = f[:len(f)-1] // better some than none
		}
		n.commit(ClassBackground, []Condition{{Key: wire.LeaderKey, Revision: n.leader.term}},
			[]Write{{Key: wire.MachineTypesKey, Value: &wire.MachineTypeCache{Types: f}}}, func(Committed) {})
	}
}

// noCapacityDelay is how long a pool that had no more machines is left alone.
const noCapacityDelay = 10 * second

func (n *Node) provisionAnswered(h *provisioning, r CloudAnswered) {
	c := &n.leader.autoscaler
	done := true
	switch r.Outcome {
	case OK:
		for _, name := range r.Names {
			c.booting[name] = &bootingMachine{pool: h.pool, provisionedAt: n.now}
		}
		if len(r.Names) < h.request.Count {
			c.retryAt[h.pool], c.shortageAt[h.pool] = n.now+noCapacityDelay, n.now
		}
		n.log(LogInfo, "machines provisioned", "machine_type", h.request.MachineType, "zone", h.request.Zone, "spot", h.request.Spot, "requested", h.request.Count, "received", len(r.Names))
	case NoCapacity:
		c.retryAt[h.pool], c.shortageAt[h.pool] = n.now+noCapacityDelay, n.now
	case Refused:
		c.retryAt[h.pool] = n.now + 2*second
	default:
		// It may have been carried out: only the same name tells.
		h.sent, h.sendAt = false, n.now+second
		done = n.now-h.decidedAt > 60*second
	}
	if done {
		c.provisions = slices.DeleteFunc(c.provisions, func(x *provisioning) bool { return x == h })
	}
	n.leader.planNeeded = true
}

// reconcileMachineList takes the cloud's machine list, which lags.
func (n *Node) reconcileMachineList(list []wire.CloudMachine) {
	c := &n.leader.autoscaler
	listed := map[string]bool{}
	var back []string
	for i := range list {
		m := &list[i]
		listed[m.Name] = true
		ix := n.names.Machines.Find(m.Name)
		known := ix >= 0 && n.machines[ix].view.known
		if ix >= 0 && n.machines[ix].returned {
			continue
		}
		r := n.typeAt(n.names.MachineTypes.Find(m.MachineType))
		switch {
		case m.Status == wire.MachineFailed:
			back = append(back, m.Name)
		case known:
			c.noteBooted(n, m.Name)
			delete(c.unreportedSince, m.Name)
		case m.Status == wire.MachineBooting:
			b := c.booting[m.Name]
			if b == nil {
				b = &bootingMachine{pool: machinePool{n.names.MachineTypes.Of(m.MachineType), n.names.Zones.Of(m.Zone), m.Spot}, provisionedAt: n.now - Time(m.AgeS*float64(second))}
				c.booting[m.Name] = b
			}
			b.listed = true
			if r != nil {
				if _, giveUp := n.overdue(r, n.now-Time(m.AgeS*float64(second))); giveUp {
					back = append(back, m.Name)
				}
			}
		default:
			if c.unreportedSince[m.Name] == 0 {
				c.unreportedSince[m.Name] = n.now
			}
			if n.now-c.unreportedSince[m.Name] > n.cfg.WorkerLease+10*second {
				back = append(back, m.Name)
			}
		}
	}
	for name, b := range c.booting {
		if !listed[name] && (b.listed || n.now-b.provisionedAt > 3*n.cfg.CloudListLag+10*second) {
			delete(c.booting, name)
		}
	}
	for _, name := range back {
		c.draining[name] = true
	}
}

// addExpected adds machines that are on their way, as room to plan with.
func (n *Node) addExpected(p *schedulingPass) {
	c := &n.leader.autoscaler
	names := make([]string, 0, len(c.booting))
	for name := range c.booting {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		b := c.booting[name]
		if ix := n.names.Machines.Find(name); ix >= 0 && n.machines[ix].view.known {
			c.noteBooted(n, name)
			continue
		}
		if r := n.typeAt(b.pool.machineType); r != nil {
			if late, _ := n.overdue(r, b.provisionedAt); late {
				continue // plan without it
			}
		}
		p.addExpectedMachine(b.pool)
	}
	for _, h := range c.provisions {
		for range h.request.Count {
			p.addExpectedMachine(h.pool)
		}
	}
}

// addExpectedMachine adds a machine that is to come.
func (p *schedulingPass) addExpectedMachine(x machinePool) *slot {
	s := p.node.newSlot(x)
	if s != nil {
		p.expected.add(s)
		p.poolSizes[x]++
	}
	return s
}

func (n *Node) newSlot(x machinePool) *slot {
	r := n.typeAt(x.machineType)
	if r == nil {
		return nil
	}
	part := -1
	for _, y := range n.shards {
		if y.Zone == x.zone {
			part = y.Index
			break
		}
	}
	return &slot{shard: part, zone: x.zone, machineType: x.machineType, spot: x.spot, typeInfo: r, cores: r.Cores, gpus: r.GPUs, memoryGB: r.MemoryGB}
}

type pricedPool struct {
	machinePool
	price float64
}

// pools lists the pools that a job's tasks may be put on, cheapest first.
func (p *schedulingPass) pools(j *job) []pricedPool {
	n, sp := p.node, j.Record.Spec
	list := make([]pricedPool, 0, 8)
	for ix, r := range n.machineTypes {
		if r == nil || !fitsType(sp, r) {
			continue
		}
		for _, name := range r.Zones {
			z := n.names.Zones.Find(name)
			if z < 0 || n.shardOf(z, "") < 0 {
				continue
			}
			if r.SpotPricePerHour > 0 && j.Allows(ix, z, true) {
				list = append(list, pricedPool{machinePool{ix, z, true}, r.SpotPricePerHour})
			}
			if j.Allows(ix, z, false) {
				list = append(list, pricedPool{machinePool{ix, z, false}, r.PricePerHour})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b pricedPool) int {
		if a.price != b.price {
			return cmp.Compare(a.price, b.price)
		}
		return cmp.Compare(p.poolSizes[a.machinePool], p.poolSizes[b.machinePool])
	})
	return list
}

func (p *schedulingPass) mayProvision(x machinePool) bool {
	return p.node.now >= p.node.leader.autoscaler.retryAt[x]
}

// canProvision tells whether machines for a job can be had. A pool that had none a
// while ago is asked again and again, but not counted on: in the moment of each
// try the room that is being gathered on machines in use would be let go.
func (p *schedulingPass) canProvision(j *job, zone int) bool {
	for _, x := range p.pools(j) {
		at, short := p.node.leader.autoscaler.shortageAt[x.machinePool]
		if (zone < 0 || x.zone == zone) && p.mayProvision(x.machinePool) && !(short && p.node.now-at < shortageTime) {
			return true
		}
	}
	return false
}

// shortageTime is how long a pool without machines is not counted on.
const shortageTime = 60 * second

// provisionFor adds a machine to be provisioned for a task, if there may be one.
func (p *schedulingPass) provisionFor(w *queuedJob, ok func(*slot) bool) *slot {
	n := p.node
	if w.job.suspect || n.cfg.MaxMachines > 0 && len(p.available.all)+len(p.expected.all) >= n.cfg.MaxMachines {
		return nil
	}
	for _, x := range p.pools(w.job) {
		if !p.mayProvision(x.machinePool) {
			continue
		}
		if s := n.newSlot(x.machinePool); s != nil && ok(s) {
			p.provisions[x.machinePool]++
			return p.addExpectedMachine(x.machinePool)
		}
	}
	return nil
}

// scale sends what the plan asks for, and returns machines that are
// not needed.
func (n *Node) scale(p *schedulingPass, idle map[*slot]bool) {
	c := &n.leader.autoscaler
	var ask []machinePool
	for x := range p.provisions {
		ask = append(ask, x)
	}
	sort.Slice(ask, func(a, b int) bool {
		if p.provisions[ask[a]] != p.provisions[ask[b]] {
			return p.provisions[ask[a]] > p.provisions[ask[b]] // a call rents 50 at most
		}
		if ask[a].zone != ask[b].zone {
			return ask[a].zone < ask[b].zone
		}
		if ask[a].machineType != ask[b].machineType {
			return ask[a].machineType < ask[b].machineType
		}
		return ask[a].spot && !ask[b].spot
	})
	// Calls are scarce: what waits for one is better planned anew and asked
	// for in larger numbers.
	room := max(2, int(2*n.cfg.CloudRPS)) - len(c.provisions)
	if n.cloudCallTime() == 0 {
		room = 0 // what can't be sent yet is planned anew until it can
	}
	for ; room > 0 && len(ask) > 0; room-- {
		x := ask[0]
		if len(p.available.all) == 0 {
			// Nothing runs yet. Boot times differ by more than a factor of
			// two, so some more machines mean that the first are up sooner.
			p.provisions[x] += min((p.provisions[x]+1)/2, maxExtraMachines)
		}
		k := min(p.provisions[x], 50)
		c.provisions = append(c.provisions, &provisioning{pool: x, decidedAt: n.now,
			request: wire.ProvisionRequest{Name: n.provisionName(), MachineType: n.names.MachineTypes.Name(x.machineType), Zone: n.names.Zones.Name(x.zone), Spot: x.spot, Count: k}})
		if p.provisions[x] -= k; p.provisions[x] == 0 {
			ask = ask[1:]
		} else {
			ask = append(ask[1:], x)
		}
	}
	if n.now >= c.scaleInAt {
		c.scaleInAt = n.now + second
		n.scaleIn(p, idle)
	}
}

// maxExtraMachines bounds how many machines more are asked for in one call while
// nothing runs.
const maxExtraMachines = 10
