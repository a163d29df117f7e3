package simulation

import (
	"fmt"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// cloud stands in for the machine rental.
type cloud struct {
	sim           *Simulation
	provisioned   map[string][]string
	requests      map[string]wire.ProvisionRequest
	machines      map[string]*cloudMachine
	created       int
	outage        bool
	outOfCapacity bool
	machineType   wire.MachineType

	deprovisioned int // machines that controllers have returned

	slowBootUntil                  time.Duration // until when what is provisioned boots late or never
	slowBootFactor, neverBootShare float64
}

type cloudMachine struct {
	wire.CloudMachine
	createdAt  time.Duration
	terminated bool
}

func newCloud(sim *Simulation) *cloud {
	return &cloud{sim: sim, provisioned: map[string][]string{}, requests: map[string]wire.ProvisionRequest{}, machines: map[string]*cloudMachine{},
		machineType: wire.MachineType{Name: "g2", Cores: 16, GPUs: 2, MemoryGB: 64, ImageCacheGB: 60, FetchGBs: 0.5,
			PricePerHour: 6, SpotPricePerHour: 2, BootS: sim.BootTime.Seconds(), Zones: sim.Zones}}
}

func (c *cloud) call(q core.CallCloud) core.CloudAnswered {
	r := core.CloudAnswered{ID: q.ID, Outcome: core.OK}
	switch {
	case q.ListTypes:
		r.MachineTypes = []wire.MachineType{c.machineType}
	case q.ListMachines:
		for _, name := range sortedKeys(c.machines) {
			machine := c.machines[name]
			if age := c.sim.now - machine.createdAt; !machine.terminated && age > 4*time.Second {
				row := machine.CloudMachine
				row.AgeS = age.Seconds()
				r.Machines = append(r.Machines, row)
			}
		}
	case q.Provision != nil:
		if got, known := c.provisioned[q.Provision.Name]; known {
			if c.requests[q.Provision.Name] != *q.Provision {
				c.sim.rules.violated("hire_reused", "%s for %+v and %+v", q.Provision.Name, c.requests[q.Provision.Name], *q.Provision)
			}
			r.Names = got
			break
		}
		r.Names = c.provision(q.Provision)
		if len(r.Names) == 0 {
			r.Outcome = core.NoCapacity
			break
		}
		c.provisioned[q.Provision.Name], c.requests[q.Provision.Name] = r.Names, *q.Provision
	case q.Deprovision != nil:
		for _, name := range q.Deprovision {
			c.deprovisioned++
			c.terminate(name)
		}
	}
	return r
}

// countBooting counts the machines that are rented and not up.
func (c *cloud) countBooting() int {
	k := 0
	for _, machine := range c.machines {
		if !machine.terminated && machine.Status == wire.MachineBooting {
			k++
		}
	}
	return k
}

func (c *cloud) provision(h *wire.ProvisionRequest) []string {
	have := 0
	for _, machine := range c.machines {
		if !machine.terminated && machine.Zone == h.Zone && machine.Spot == h.Spot {
			have++
		}
	}
	var out []string
	for range h.Count {
		if have >= c.sim.Capacity || c.outOfCapacity {
			break
		}
		have++
		name := fmt.Sprintf("vm-%06d", c.created)
		c.created++
		machine := &cloudMachine{CloudMachine: wire.CloudMachine{Name: name, Addr: name + ":1", MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Status: wire.MachineBooting}, createdAt: c.sim.now}
		c.machines[name] = machine
		out = append(out, name)
		boot := time.Duration(float64(c.sim.BootTime) * (0.6 + 0.9*c.sim.rng.Float64()))
		if c.sim.now < c.slowBootUntil {
			if c.sim.rng.Float64() < c.neverBootShare {
				continue // it stays booting, and is paid for, until it is returned
			}
			boot = time.Duration(float64(boot) * c.slowBootFactor)
		}
		c.sim.after(boot, func() {
			if !machine.terminated {
				machine.Status = wire.MachineRunning
				c.sim.fleet.boot(machine)
			}
		})
	}
	return out
}

func (c *cloud) terminate(name string) {
	if machine := c.machines[name]; machine != nil {
		machine.terminated = true
	}
	if worker := c.sim.fleet.workers[name]; worker != nil {
		worker.terminated = true
		worker.dropTasks()
	}
}
