package core

import (
	"cmp"
	"slices"

	"micaport/internal/wire"
)

const (
	// shortagePeriod is how long the scheduler does not rely on a pool after a shortage; see
	// canProvision.
	shortagePeriod = 60 * second
	// maxMachinesPerProvision is the largest number of machines that the cloud provisions in
	// one call.
	maxMachinesPerProvision = 50
	// maxExtraMachines is the largest number of machines that one request adds to those planned
	// while no machine is up.
	maxExtraMachines = 10
)

// addExpectedMachines adds the machines that are booting or requested to the capacity that the
// pass plans with. It leaves out machines whose boot is late, and those that have reported, whose
// boots it records.
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
			scaler.completeBoot(site, name)
			continue
		}
		if machineType := site.typeAt(booting.pool.machineType); machineType != nil {
			if late, _ := scaler.overdue(site.now, machineType, booting.provisionedAt); late {
				continue
			}
		}
		p.addExpectedMachine(booting.pool)
	}
	for _, pending := range scaler.pendingProvisions {
		for range pending.request.Count {
			p.addExpectedMachine(pending.pool)
		}
	}
}

// addExpectedMachine adds a machine that is not up yet to the capacity that the pass plans
// with. It returns nil if the machine type is unknown.
func (p *schedulingPass) addExpectedMachine(pool machinePool) *slot {
	slot := p.node.newExpectedSlot(pool)
	if slot != nil {
		p.expected.add(slot)
		p.poolSizes[pool]++
	}
	return slot
}

// newExpectedSlot returns the capacity of a machine that is not up yet, or nil if its type is
// unknown. A machine's name determines its shard, and the name is not known yet, so the slot is
// assigned to the first shard of the zone.
func (s *site) newExpectedSlot(pool machinePool) *slot {
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

// pricedPool is a pool with the price of its machines.
type pricedPool struct {
	machinePool
	price float64 // of one machine for one hour
}

// poolsFor returns the pools that a job's tasks may run on, cheapest first; of pools with the same
// price the one with the fewest machines comes first.
func (p *schedulingPass) poolsFor(job *job) []pricedPool {
	n, spec := p.node, job.Record.Spec
	list := make([]pricedPool, 0, 8)
	for index, machineType := range n.machineTypes.Offered() {
		if !fitsType(spec, machineType) {
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

// mayRequest reports whether machines may be requested from a pool, that is whether its retry
// delay has passed.
func (a *autoscaler) mayRequest(now Time, pool machinePool) bool {
	return now >= a.retryAt[pool]
}

// hasShortage reports whether a pool has provided fewer machines than requested within the last
// shortagePeriod.
func (a *autoscaler) hasShortage(now Time, pool machinePool) bool {
	at, short := a.shortageAt[pool]
	return short && now-at < shortagePeriod
}

// canProvision reports whether the scheduler can rely on provisioning machines for a job in a zone,
// or in any zone if zone is -1. Machines are requested from a pool with a recent shortage again after
// each retry delay, but the pool does not count here: otherwise each retry would cancel the capacity
// that is reserved on machines in use.
func (p *schedulingPass) canProvision(job *job, zone int) bool {
	scaler, now := &p.node.leader.autoscaler, p.node.now
	for _, pool := range p.poolsFor(job) {
		if (zone < 0 || pool.zone == zone) &&
			scaler.mayRequest(now, pool.machinePool) &&
			!scaler.hasShortage(now, pool.machinePool) {
			return true
		}
	}
	return false
}

// provisionFor plans to provision a machine for a task of a job, from the cheapest pool for whose
// machines accept returns true, and returns the machine's capacity. It returns nil if no pool
// qualifies, the site has its maximum number of machines, or the job is suspect.
func (p *schedulingPass) provisionFor(job *job, accept func(*slot) bool) *slot {
	n := p.node
	if job.suspect || n.cfg.MaxMachines > 0 && len(p.available.all)+len(p.expected.all) >= n.cfg.MaxMachines {
		return nil
	}
	for _, pool := range p.poolsFor(job) {
		if !n.leader.autoscaler.mayRequest(n.now, pool.machinePool) {
			continue
		}
		if slot := n.newExpectedSlot(pool.machinePool); slot != nil && accept(slot) {
			p.machinesToProvision[pool.machinePool]++
			return p.addExpectedMachine(pool.machinePool)
		}
	}
	return nil
}

// poolsToProvision returns the pools from which the pass provisions machines, those with the
// most machines to provision first: the cloud limits the rate of calls, and each call provisions at
// most maxMachinesPerProvision machines.
func (p *schedulingPass) poolsToProvision() []machinePool {
	pools := make([]machinePool, 0, len(p.machinesToProvision))
	for pool := range p.machinesToProvision {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b machinePool) int {
		return cmp.Or(
			cmp.Compare(p.machinesToProvision[b], p.machinesToProvision[a]),
			cmp.Compare(a.zone, b.zone),
			cmp.Compare(a.machineType, b.machineType),
			boolToInt(b.spot)-boolToInt(a.spot))
	})
	return pools
}

// requestMachines creates requests for the machines that the pass plans to provision. The number of
// pending requests is limited: the next pass plans the remaining machines again and combines them
// into larger requests.
func (p *schedulingPass) requestMachines() {
	n, scaler := p.node, &p.node.leader.autoscaler
	if n.cloudCallTime() == 0 {
		return // no call may be sent now; the next passes plan the machines again
	}
	pools := p.poolsToProvision()
	for allowed := max(2, int(2*n.cfg.CloudRPS)) - len(scaler.pendingProvisions); allowed > 0 && len(pools) > 0; allowed-- {
		pool := pools[0]
		if len(p.available.all) == 0 {
			// No machine is up. Boot times vary by more than a factor of two, so the first
			// machines come up sooner if more are requested.
			p.machinesToProvision[pool] += min((p.machinesToProvision[pool]+1)/2, maxExtraMachines)
		}
		count := min(p.machinesToProvision[pool], maxMachinesPerProvision)
		scaler.pendingProvisions = append(scaler.pendingProvisions, &pendingProvision{pool: pool, decidedAt: n.now,
			request: wire.ProvisionRequest{
				Name:        n.newProvisionName(),
				MachineType: n.names.MachineTypes.Name(pool.machineType),
				Zone:        n.names.Zones.Name(pool.zone),
				Spot:        pool.spot,
				Count:       count,
			}})
		if p.machinesToProvision[pool] -= count; p.machinesToProvision[pool] == 0 {
			pools = pools[1:]
		} else {
			pools = append(pools[1:], pool)
		}
	}
}
