package core

import (
	"cmp"
	"slices"

	"micaport/internal/wire"
)

// Choosing the pools that machines are provisioned from.

const (
	// shortageTime is how long a pool without capacity is not counted on.
	shortageTime = 60 * second
	// maxProvisioned is how many machines the cloud provisions in one call.
	maxProvisioned = 50
	// maxExtraMachines bounds how many machines beyond the plan are requested in one call
	// while no machine is up.
	maxExtraMachines = 10
)

// addExpectedMachines adds the machines that are booting or requested as capacity to plan
// with, unless they are overdue.
func (p *schedulingPass) addExpectedMachines() {
	scaler, site := &p.node.leader.autoscaler, &p.node.site
	names := make([]string, 0, len(scaler.booting))
	for name := range scaler.booting {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		booting := scaler.booting[name]
		if site.hasReported(name) {
			scaler.noteBooted(site, name)
			continue
		}
		if machineType := site.typeAt(booting.pool.machineType); machineType != nil {
			if late, _ := scaler.overdue(site.now, machineType, booting.provisionedAt); late {
				continue
			}
		}
		p.addExpectedMachine(booting.pool)
	}
	for _, provisioning := range scaler.provisions {
		for range provisioning.request.Count {
			p.addExpectedMachine(provisioning.pool)
		}
	}
}

// addExpectedMachine adds a machine that is not up yet to the plan. It returns nil if the
// machine type is not on offer any more.
func (p *schedulingPass) addExpectedMachine(pool machinePool) *slot {
	slot := p.node.newSlot(pool)
	if slot != nil {
		p.expected.add(slot)
		p.poolSizes[pool]++
	}
	return slot
}

// newSlot returns the capacity of a machine yet to come, or nil if its type is not on offer.
// It is in the first shard of its zone, as its name, which decides on the shard, is not known.
func (s *site) newSlot(pool machinePool) *slot {
	machineType := s.typeAt(pool.machineType)
	if machineType == nil {
		return nil
	}
	shardIndex := -1
	for _, shard := range s.shards {
		if shard.Zone == pool.zone {
			shardIndex = shard.Index
			break
		}
	}
	return &slot{
		shard:       shardIndex,
		zone:        pool.zone,
		machineType: pool.machineType,
		spot:        pool.spot,
		typeInfo:    machineType,
		cores:       machineType.Cores,
		gpus:        machineType.GPUs,
		memoryGB:    machineType.MemoryGB,
	}
}

// pricedPool is a pool with the price of a machine per hour.
type pricedPool struct {
	machinePool
	price float64
}

// pools lists the pools that a job's tasks may run on, cheapest first and among equals the
// one with the fewest machines.
func (p *schedulingPass) pools(job *job) []pricedPool {
	n, spec := p.node, job.Record.Spec
	list := make([]pricedPool, 0, 8)
	for index, machineType := range n.machineTypes {
		if machineType == nil || !fitsType(spec, machineType) {
			continue
		}
		for _, name := range machineType.Zones {
			zone := n.names.Zones.Find(name)
			if zone < 0 || n.ownership.ShardOf(zone, "") < 0 {
				continue
			}
			if machineType.SpotPricePerHour > 0 && job.Allows(index, zone, true) {
				list = append(list, pricedPool{machinePool{index, zone, true}, machineType.SpotPricePerHour})
			}
			if job.Allows(index, zone, false) {
				list = append(list, pricedPool{machinePool{index, zone, false}, machineType.PricePerHour})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b pricedPool) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(p.poolSizes[a.machinePool], p.poolSizes[b.machinePool]))
	})
	return list
}

// mayRequest reports whether machines may be requested from a pool now.
func (a *autoscaler) mayRequest(now Time, pool machinePool) bool {
	return now >= a.retryAt[pool]
}

// hasShortage reports whether a pool was short of machines lately.
func (a *autoscaler) hasShortage(now Time, pool machinePool) bool {
	at, short := a.shortageAt[pool]
	return short && now-at < shortageTime
}

// canProvision reports whether machines for a job can be counted on in a zone, or in any if
// it is -1. A pool that was short of machines is asked again and again, but not counted on:
// otherwise the capacity reserved on machines in use would be dropped at each try.
func (p *schedulingPass) canProvision(job *job, zone int) bool {
	scaler, now := &p.node.leader.autoscaler, p.node.now
	for _, pool := range p.pools(job) {
		if (zone < 0 || pool.zone == zone) &&
			scaler.mayRequest(now, pool.machinePool) &&
			!scaler.hasShortage(now, pool.machinePool) {
			return true
		}
	}
	return false
}

// provisionFor plans to provision a machine for a task from the cheapest pool that accept
// allows. It returns nil if there may be no more machines.
func (p *schedulingPass) provisionFor(job *job, accept func(*slot) bool) *slot {
	n := p.node
	if job.suspect || n.cfg.MaxMachines > 0 && len(p.available.all)+len(p.expected.all) >= n.cfg.MaxMachines {
		return nil
	}
	for _, pool := range p.pools(job) {
		if !n.leader.autoscaler.mayRequest(n.now, pool.machinePool) {
			continue
		}
		if slot := n.newSlot(pool.machinePool); slot != nil && accept(slot) {
			p.provisions[pool.machinePool]++
			return p.addExpectedMachine(pool.machinePool)
		}
	}
	return nil
}

// largestRequestsFirst lists the pools that a pass wants machines from: the largest number
// first, as a call provisions maxProvisioned at most and calls are scarce.
func (p *schedulingPass) largestRequestsFirst() []machinePool {
	pools := make([]machinePool, 0, len(p.provisions))
	for pool := range p.provisions {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b machinePool) int {
		return cmp.Or(
			cmp.Compare(p.provisions[b], p.provisions[a]),
			cmp.Compare(a.zone, b.zone),
			cmp.Compare(a.machineType, b.machineType),
			boolToInt(b.spot)-boolToInt(a.spot))
	})
	return pools
}

// requestMachines turns what the pass wants to provision into requests. There are few open
// requests at a time: what has to wait for a call is better planned anew and requested
// in larger numbers.
func (p *schedulingPass) requestMachines() {
	n, scaler := p.node, &p.node.leader.autoscaler
	if n.cloudCallTime() == 0 {
		return // what can't be sent yet is planned anew until it can
	}
	pools := p.largestRequestsFirst()
	for open := max(2, int(2*n.cfg.CloudRPS)) - len(scaler.provisions); open > 0 && len(pools) > 0; open-- {
		pool := pools[0]
		if len(p.available.all) == 0 {
			// No machine is up. Boot times differ by more than a factor of two, so that
			// with some more machines the first are up sooner.
			p.provisions[pool] += min((p.provisions[pool]+1)/2, maxExtraMachines)
		}
		count := min(p.provisions[pool], maxProvisioned)
		scaler.provisions = append(scaler.provisions, &provisioning{pool: pool, decidedAt: n.now,
			request: wire.ProvisionRequest{
				Name:        n.provisionName(),
				MachineType: n.names.MachineTypes.Name(pool.machineType),
				Zone:        n.names.Zones.Name(pool.zone),
				Spot:        pool.spot,
				Count:       count,
			}})
		if p.provisions[pool] -= count; p.provisions[pool] == 0 {
			pools = pools[1:]
		} else {
			pools = append(pools[1:], pool)
		}
	}
}
