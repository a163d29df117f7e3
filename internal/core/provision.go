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

func (slot *slot) pool() machinePool { return machinePool{slot.machineType, slot.zone, slot.spot} }

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
		result := in.(CloudAnswered)
		if result.Outcome != Unknown {
			n.cloudUnreachableSince = 0
		} else if n.cloudUnreachableSince == 0 {
			n.cloudUnreachableSince = n.now
		}
		f(result)
	})
	// A process that stood still must not send what it decided before: another
	// leads by then, and the machines may be in use.
	c.ValidFor = n.cloudCallTime()
	if n.fenced() {
		c.Term = n.leadership.Term()
	}
	n.emit(c)
}

// runCloudCalls keeps the machine types and the machine list up to date, and
// sends provisioning requests.
func (n *Node) runCloudCalls() {
	scaler := &n.leader.autoscaler
	tenure := n.leader.tenure
	if n.now >= scaler.typesAt {
		scaler.typesAt = n.now + 30*second
		if n.offeredTypes == nil || n.typesFetchedAt == 0 {
			scaler.typesAt = n.now + 2*second
		}
		n.cloudCall(CallCloud{ListTypes: true}, func(result CloudAnswered) {
			if result.Outcome == OK && len(result.MachineTypes) > 0 {
				n.updateMachineTypes(result.MachineTypes)
			}
		})
	}
	if n.now >= scaler.listAt && !scaler.listing {
		scaler.listing = true
		n.cloudCall(CallCloud{ListMachines: true}, func(result CloudAnswered) {
			if n.leader.tenure != tenure {
				return
			}
			scaler.listing = false
			// A list of several pages may take a fifth of what the cloud
			// allows; most of it is for renting and returning.
			pages := Time(len(result.Machines)/500 + 1)
			scaler.listAt = n.now + max(4*second, n.cfg.CloudListLag/2, Time(float64((pages-1)*5*second)/max(n.cfg.CloudRPS, 0.1)))
			if result.Outcome == OK {
				n.reconcileMachineList(result.Machines)
			}
		})
	}
	for _, provisioning := range scaler.provisions {
		if provisioning.sent || n.now < provisioning.sendAt || n.cloudCallTime() == 0 {
			continue
		}
		provisioning.sent = true
		n.cloudCall(CallCloud{Provision: &provisioning.request}, func(result CloudAnswered) {
			if n.leader.tenure != tenure {
				return
			}
			n.provisionAnswered(provisioning, result)
		})
	}
}

// setMachineTypes takes the machine types, by name and by index.
func (n *Node) setMachineTypes(f []wire.MachineType) {
	n.offeredTypes = f
	for i := range f {
		index := n.names.MachineTypes.Of(f[i].Name)
		for len(n.machineTypes) <= index {
			n.machineTypes = append(n.machineTypes, nil)
		}
		n.machineTypes[index] = &f[i]
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
		n.commit(ClassBackground, []Condition{{Key: wire.LeaderKey, Revision: n.leadership.Term()}},
			[]Write{{Key: wire.MachineTypesKey, Value: &wire.MachineTypeCache{Types: f}}}, func(Committed) {})
	}
}

// noCapacityDelay is how long a pool that had no more machines is left alone.
const noCapacityDelay = 10 * second

func (n *Node) provisionAnswered(h *provisioning, result CloudAnswered) {
	scaler := &n.leader.autoscaler
	done := true
	switch result.Outcome {
	case OK:
		for _, name := range result.Names {
			scaler.booting[name] = &bootingMachine{pool: h.pool, provisionedAt: n.now}
		}
		if len(result.Names) < h.request.Count {
			scaler.retryAt[h.pool], scaler.shortageAt[h.pool] = n.now+noCapacityDelay, n.now
		}
		n.log(LogInfo, "machines provisioned", "machine_type", h.request.MachineType, "zone", h.request.Zone, "spot", h.request.Spot, "requested", h.request.Count, "received", len(result.Names))
	case NoCapacity:
		scaler.retryAt[h.pool], scaler.shortageAt[h.pool] = n.now+noCapacityDelay, n.now
	case Refused:
		scaler.retryAt[h.pool] = n.now + 2*second
	default:
		// It may have been carried out: only the same name tells.
		h.sent, h.sendAt = false, n.now+second
		done = n.now-h.decidedAt > 60*second
	}
	if done {
		scaler.provisions = slices.DeleteFunc(scaler.provisions, func(x *provisioning) bool { return x == h })
	}
	n.leader.planNeeded = true
}

// reconcileMachineList takes the cloud's machine list, which lags.
func (n *Node) reconcileMachineList(list []wire.CloudMachine) {
	scaler := &n.leader.autoscaler
	listed := map[string]bool{}
	var back []string
	for i := range list {
		m := &list[i]
		listed[m.Name] = true
		index := n.names.Machines.Find(m.Name)
		known := index >= 0 && n.machines[index].view.known
		if index >= 0 && n.machines[index].returned {
			continue
		}
		machineType := n.typeAt(n.names.MachineTypes.Find(m.MachineType))
		switch {
		case m.Status == wire.MachineFailed:
			back = append(back, m.Name)
		case known:
			scaler.noteBooted(n, m.Name)
			delete(scaler.unreportedSince, m.Name)
		case m.Status == wire.MachineBooting:
			booting := scaler.booting[m.Name]
			if booting == nil {
				booting = &bootingMachine{pool: machinePool{n.names.MachineTypes.Of(m.MachineType), n.names.Zones.Of(m.Zone), m.Spot}, provisionedAt: n.now - Time(m.AgeS*float64(second))}
				scaler.booting[m.Name] = booting
			}
			booting.listed = true
			if machineType != nil {
				if _, giveUp := n.overdue(machineType, n.now-Time(m.AgeS*float64(second))); giveUp {
					back = append(back, m.Name)
				}
			}
		default:
			if scaler.unreportedSince[m.Name] == 0 {
				scaler.unreportedSince[m.Name] = n.now
			}
			if n.now-scaler.unreportedSince[m.Name] > n.cfg.WorkerLease+10*second {
				back = append(back, m.Name)
			}
		}
	}
	for name, booting := range scaler.booting {
		if !listed[name] && (booting.listed || n.now-booting.provisionedAt > 3*n.cfg.CloudListLag+10*second) {
			delete(scaler.booting, name)
		}
	}
	for _, name := range back {
		scaler.draining[name] = true
	}
}

// addExpected adds machines that are on their way, as room to plan with.
func (n *Node) addExpected(pass *schedulingPass) {
	scaler := &n.leader.autoscaler
	names := make([]string, 0, len(scaler.booting))
	for name := range scaler.booting {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		booting := scaler.booting[name]
		if index := n.names.Machines.Find(name); index >= 0 && n.machines[index].view.known {
			scaler.noteBooted(n, name)
			continue
		}
		if machineType := n.typeAt(booting.pool.machineType); machineType != nil {
			if late, _ := n.overdue(machineType, booting.provisionedAt); late {
				continue // plan without it
			}
		}
		pass.addExpectedMachine(booting.pool)
	}
	for _, provisioning := range scaler.provisions {
		for range provisioning.request.Count {
			pass.addExpectedMachine(provisioning.pool)
		}
	}
}

// addExpectedMachine adds a machine that is to come.
func (pass *schedulingPass) addExpectedMachine(pool machinePool) *slot {
	slot := pass.node.newSlot(pool)
	if slot != nil {
		pass.expected.add(slot)
		pass.poolSizes[pool]++
	}
	return slot
}

func (n *Node) newSlot(pool machinePool) *slot {
	machineType := n.typeAt(pool.machineType)
	if machineType == nil {
		return nil
	}
	part := -1
	for _, shard := range n.shards {
		if shard.Zone == pool.zone {
			part = shard.Index
			break
		}
	}
	return &slot{shard: part, zone: pool.zone, machineType: pool.machineType, spot: pool.spot, typeInfo: machineType, cores: machineType.Cores, gpus: machineType.GPUs, memoryGB: machineType.MemoryGB}
}

type pricedPool struct {
	machinePool
	price float64
}

// pools lists the pools that a job's tasks may be put on, cheapest first.
func (pass *schedulingPass) pools(job *job) []pricedPool {
	n, spec := pass.node, job.Record.Spec
	list := make([]pricedPool, 0, 8)
	for index, machineType := range n.machineTypes {
		if machineType == nil || !fitsType(spec, machineType) {
			continue
		}
		for _, name := range machineType.Zones {
			z := n.names.Zones.Find(name)
			if z < 0 || n.ownership.ShardOf(z, "") < 0 {
				continue
			}
			if machineType.SpotPricePerHour > 0 && job.Allows(index, z, true) {
				list = append(list, pricedPool{machinePool{index, z, true}, machineType.SpotPricePerHour})
			}
			if job.Allows(index, z, false) {
				list = append(list, pricedPool{machinePool{index, z, false}, machineType.PricePerHour})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b pricedPool) int {
		if a.price != b.price {
			return cmp.Compare(a.price, b.price)
		}
		return cmp.Compare(pass.poolSizes[a.machinePool], pass.poolSizes[b.machinePool])
	})
	return list
}

func (pass *schedulingPass) mayProvision(pool machinePool) bool {
	return pass.node.now >= pass.node.leader.autoscaler.retryAt[pool]
}

// canProvision tells whether machines for a job can be had. A pool that had none a
// while ago is asked again and again, but not counted on: in the moment of each
// try the room that is being gathered on machines in use would be let go.
func (pass *schedulingPass) canProvision(job *job, zone int) bool {
	for _, x := range pass.pools(job) {
		at, short := pass.node.leader.autoscaler.shortageAt[x.machinePool]
		if (zone < 0 || x.zone == zone) && pass.mayProvision(x.machinePool) && !(short && pass.node.now-at < shortageTime) {
			return true
		}
	}
	return false
}

// shortageTime is how long a pool without machines is not counted on.
const shortageTime = 60 * second

// provisionFor adds a machine to be provisioned for a task, if there may be one.
func (pass *schedulingPass) provisionFor(queued *queuedJob, ok func(*slot) bool) *slot {
	n := pass.node
	if queued.job.suspect || n.cfg.MaxMachines > 0 && len(pass.available.all)+len(pass.expected.all) >= n.cfg.MaxMachines {
		return nil
	}
	for _, x := range pass.pools(queued.job) {
		if !pass.mayProvision(x.machinePool) {
			continue
		}
		if slot := n.newSlot(x.machinePool); slot != nil && ok(slot) {
			pass.provisions[x.machinePool]++
			return pass.addExpectedMachine(x.machinePool)
		}
	}
	return nil
}

// scale sends what the plan asks for, and returns machines that are
// not needed.
func (n *Node) scale(pass *schedulingPass, idle map[*slot]bool) {
	scaler := &n.leader.autoscaler
	var ask []machinePool
	for pool := range pass.provisions {
		ask = append(ask, pool)
	}
	sort.Slice(ask, func(a, b int) bool {
		if pass.provisions[ask[a]] != pass.provisions[ask[b]] {
			return pass.provisions[ask[a]] > pass.provisions[ask[b]] // a call rents 50 at most
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
	room := max(2, int(2*n.cfg.CloudRPS)) - len(scaler.provisions)
	if n.cloudCallTime() == 0 {
		room = 0 // what can't be sent yet is planned anew until it can
	}
	for ; room > 0 && len(ask) > 0; room-- {
		pool := ask[0]
		if len(pass.available.all) == 0 {
			// Nothing runs yet. Boot times differ by more than a factor of
			// two, so some more machines mean that the first are up sooner.
			pass.provisions[pool] += min((pass.provisions[pool]+1)/2, maxExtraMachines)
		}
		k := min(pass.provisions[pool], 50)
		scaler.provisions = append(scaler.provisions, &provisioning{pool: pool, decidedAt: n.now,
			request: wire.ProvisionRequest{Name: n.provisionName(), MachineType: n.names.MachineTypes.Name(pool.machineType), Zone: n.names.Zones.Name(pool.zone), Spot: pool.spot, Count: k}})
		if pass.provisions[pool] -= k; pass.provisions[pool] == 0 {
			ask = ask[1:]
		} else {
			ask = append(ask[1:], pool)
		}
	}
	if n.now >= scaler.scaleInAt {
		scaler.scaleInAt = n.now + second
		n.scaleIn(pass, idle)
	}
}

// maxExtraMachines bounds how many machines more are asked for in one call while
// nothing runs.
const maxExtraMachines = 10
