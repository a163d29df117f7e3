package simulation

import (
	"fmt"
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// cloud models the cloud provider.
type cloud struct {
	sim             *Simulation
	machineTypes    []wire.MachineType       // all that it ever offers
	offeredSince    map[string]time.Duration // by name of a type: since when it has been on offer; types that are not on offer are absent
	machines        map[string]*cloudMachine
	provisioned     map[string][]string              // names of the machines provisioned for each request, by the name of the request
	requests        map[string]wire.ProvisionRequest // by name
	createdMachines int                              // number of machines created so far

	deprovisioned  int // number of machines named in deprovision calls so far, repetitions included
	outage         bool
	outOfCapacity  bool
	slowBoot       timedValue // factor by which the boot time increases
	neverBootShare float64    // share of the machines created while slowBoot applies that never boot
}

// cloudMachine is a provisioned machine.
type cloudMachine struct {
	wire.CloudMachine
	createdAt  time.Duration
	terminated bool
}

// newCloud returns a cloud without machines, which offers all its types.
func newCloud(sim *Simulation) *cloud {
	created := &cloud{
		sim: sim, machines: map[string]*cloudMachine{}, provisioned: map[string][]string{}, requests: map[string]wire.ProvisionRequest{},
		offeredSince: map[string]time.Duration{},
	}
	for number := 1; number <= max(1, sim.MachineTypes); number++ {
		created.machineTypes = append(created.machineTypes, created.newMachineType(number))
	}
	created.offer(1, len(created.machineTypes))
	return created
}

// newMachineType returns the machine type with a number, from 1 on. The first is the smallest and
// the cheapest.
func (c *cloud) newMachineType(number int) wire.MachineType {
	machineType := wire.MachineType{
		Name: "g2", Cores: 16, GPUs: 2, MemoryGB: 64, ImageCacheGB: 60, FetchGBs: 0.5,
		PricePerHour: 6, SpotPricePerHour: 2, BootS: c.sim.BootTime.Seconds(), Zones: c.sim.Zones,
	}
	if number > 1 {
		larger := float64(number - 1)
		machineType.Name = fmt.Sprintf("g2-%03d", number)
		machineType.Cores += larger
		machineType.PricePerHour += larger
		machineType.SpotPricePerHour += larger / 4
	}
	return machineType
}

// offer makes the types with the numbers from first to last those on offer.
func (c *cloud) offer(first, last int) {
	before := c.offeredSince
	c.offeredSince = map[string]time.Duration{}
	for i := first - 1; i < min(last, len(c.machineTypes)); i++ {
		name := c.machineTypes[i].Name
		since, offered := before[name]
		if !offered {
			since = c.sim.now
		}
		c.offeredSince[name] = since
	}
}

// offers reports whether a type is on offer and has been since a time.
func (c *cloud) offers(name string, since time.Duration) bool {
	from, offered := c.offeredSince[name]
	return offered && from <= since
}

// listTypes returns the types on offer.
func (c *cloud) listTypes() []wire.MachineType {
	var listed []wire.MachineType
	for _, machineType := range c.machineTypes {
		if c.offers(machineType.Name, c.sim.now) {
			listed = append(listed, machineType)
		}
	}
	return listed
}

// typeOf returns the type of a machine.
func (c *cloud) typeOf(machine *cloudMachine) *wire.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == machine.MachineType {
			return &c.machineTypes[i]
		}
	}
	return &c.machineTypes[0]
}

// call executes a call of a controller.
func (c *cloud) call(call core.CallCloud) core.CloudAnswered {
	answer := core.CloudAnswered{ID: call.ID, Outcome: kv.OK}
	switch {
	case call.ListTypes:
		answer.MachineTypes = c.listTypes()
	case call.ListMachines:
		answer.Machines = c.list()
	case call.Provision != nil:
		answer.Names = c.provisionOnce(call.Provision)
		if len(answer.Names) == 0 {
			answer.Outcome = kv.NoCapacity
		}
	case call.Deprovision != nil:
		for _, name := range call.Deprovision {
			c.deprovisioned++
			c.terminate(name)
		}
	}
	return answer
}

// list returns the machines that are older than cloudListLag. It models a cloud in whose list
// new machines appear late.
func (c *cloud) list() []wire.CloudMachine {
	var listed []wire.CloudMachine
	for _, name := range sortedKeys(c.machines) {
		machine := c.machines[name]
		if age := c.sim.now - machine.createdAt; !machine.terminated && age > cloudListLag {
			row := machine.CloudMachine
			row.AgeS = age.Seconds()
			listed = append(listed, row)
		}
	}
	return listed
}

// countBooting counts the machines that have not booted yet.
func (c *cloud) countBooting() int {
	count := 0
	for _, machine := range c.machines {
		if !machine.terminated && machine.Status == wire.MachineBooting {
			count++
		}
	}
	return count
}

// provisionOnce provisions machines and returns their names. It is idempotent: a repeated
// request, recognized by its name, returns the machines of the first. A request that reuses
// a name with different contents violates a rule.
func (c *cloud) provisionOnce(request *wire.ProvisionRequest) []string {
	if names, known := c.provisioned[request.Name]; known {
		if c.requests[request.Name] != *request {
			c.sim.rules.reportViolation("provision_name_reused", "%s for %+v and %+v", request.Name, c.requests[request.Name], *request)
		}
		return names
	}
	names := c.provision(request)
	if len(names) > 0 {
		c.provisioned[request.Name], c.requests[request.Name] = names, *request
	}
	return names
}

// provision creates as many of the requested machines as the capacity allows and returns
// their names.
func (c *cloud) provision(request *wire.ProvisionRequest) []string {
	used := 0
	for _, machine := range c.machines {
		if !machine.terminated && machine.MachineType == request.MachineType && machine.Zone == request.Zone && machine.Spot == request.Spot {
			used++
		}
	}
	if c.outOfCapacity || !c.offers(request.MachineType, c.sim.now) {
		return nil
	}
	var names []string
	for range min(request.Count, max(0, c.sim.Capacity-used)) {
		names = append(names, c.create(request))
	}
	return names
}

// create creates a machine, starts to boot it, and returns its name.
func (c *cloud) create(request *wire.ProvisionRequest) string {
	sim := c.sim
	name := fmt.Sprintf("vm-%06d", c.createdMachines)
	c.createdMachines++
	machine := &cloudMachine{createdAt: sim.now, CloudMachine: wire.CloudMachine{
		Name: name, Addr: name + ":1", MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot, Status: wire.MachineBooting,
	}}
	c.machines[name] = machine
	bootTime := time.Duration(float64(sim.BootTime) * (0.6 + 0.9*sim.rng.Float64()))
	if sim.now < c.slowBoot.until {
		if sim.rng.Float64() < c.neverBootShare {
			return name // the machine stays in the booting state, and is charged for, until it is deprovisioned
		}
		bootTime = time.Duration(float64(bootTime) * c.slowBoot.value)
	}
	sim.after(bootTime, func() {
		if !machine.terminated {
			machine.Status = wire.MachineRunning
			sim.fleet.boot(machine)
		}
	})
	return name
}

// terminate terminates a machine and its worker.
func (c *cloud) terminate(name string) {
	if machine := c.machines[name]; machine != nil {
		machine.terminated = true
	}
	if worker := c.sim.fleet.workers[name]; worker != nil {
		worker.terminated = true
		worker.removeAllTasks()
	}
}
