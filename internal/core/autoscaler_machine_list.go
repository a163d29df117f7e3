package core

import "micaport/internal/wire"

const (
	// unreportedGrace is added to the workers' lease: a machine that the machine list shows as
	// running is deprovisioned if its worker has not reported within this time.
	unreportedGrace = 10 * second
	// unlistedGrace is added to three times the lag of the machine list: a provisioned machine
	// that the list has not contained within this time is no longer expected.
	unlistedGrace = 10 * second
)

// reconcileMachineList compares the cloud's machine list, which lags, with the machines that
// are expected or have reported. It marks machines for draining that have failed or do not come up,
// and removes those that are missing from the list from the booting machines.
func (a *autoscaler) reconcileMachineList(site *site, list []wire.CloudMachine) {
	listed := make(map[string]bool, len(list))
	var faulty []string
	for i := range list {
		entry := &list[i]
		listed[entry.Name] = true
		if machine := site.findMachine(entry.Name); machine != nil && machine.deprovisioned {
			continue
		}
		if a.reconcileListedMachine(site, entry) {
			faulty = append(faulty, entry.Name)
		}
	}
	for name, booting := range a.booting {
		if !listed[name] && (booting.listed || site.now-booting.provisionedAt > 3*site.cfg.CloudListLag+unlistedGrace) {
			delete(a.booting, name)
		}
	}
	for _, name := range faulty {
		a.markedForDraining[name] = true
	}
}

// reconcileListedMachine updates the state of a machine from its entry in the machine list and
// reports whether the machine has failed or has not come up in time, so that it should be
// deprovisioned.
func (a *autoscaler) reconcileListedMachine(site *site, entry *wire.CloudMachine) (faulty bool) {
	switch {
	case entry.Status == wire.MachineFailed:
		return true
	case site.hasReported(entry.Name):
		a.completeBoot(site, entry.Name)
		delete(a.unreportedSince, entry.Name)
		return false
	case entry.Status == wire.MachineBooting:
		provisionedAt := site.now - Time(entry.AgeS*float64(second))
		booting := a.booting[entry.Name]
		if booting == nil {
			booting = &bootingMachine{pool: machinePool{site.names.MachineTypes.Intern(entry.MachineType), site.names.Zones.Intern(entry.Zone), entry.Spot}, provisionedAt: provisionedAt}
			a.booting[entry.Name] = booting
		}
		booting.listed = true
		machineType := site.typeAt(site.names.MachineTypes.Find(entry.MachineType))
		if machineType == nil {
			return false
		}
		_, abandoned := a.overdue(site.now, machineType, provisionedAt)
		return abandoned
	}
	if a.unreportedSince[entry.Name] == 0 {
		a.unreportedSince[entry.Name] = site.now
	}
	return site.now-a.unreportedSince[entry.Name] > site.cfg.WorkerLease+unreportedGrace
}
