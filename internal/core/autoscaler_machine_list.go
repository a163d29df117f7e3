package core

import "micaport/internal/wire"

const (
	// unreportedGrace is added to the workers' lease: a machine that the machine list shows as
	// running is deprovisioned if its worker has not reported within this time.
	unreportedGrace = 10 * second
	// unlistedGrace is added to three times the lag of the machine list: a provisioned machine
	// that the list has not shown within this time is no longer expected.
	unlistedGrace = 10 * second
)

// reconcileMachineList compares the cloud's machine list, which lags, with the machines that
// are expected or have reported. It marks machines that have failed or do not come up for
// deprovisioning, and stops expecting those that are missing from the list.
func (a *autoscaler) reconcileMachineList(site *site, list []wire.CloudMachine) {
	listed := make(map[string]bool, len(list))
	var unneeded []string
	for i := range list {
		entry := &list[i]
		listed[entry.Name] = true
		if machine := site.findMachine(entry.Name); machine != nil && machine.returned {
			continue
		}
		if a.reconcileMachine(site, entry) {
			unneeded = append(unneeded, entry.Name)
		}
	}
	for name, booting := range a.booting {
		if !listed[name] && (booting.listed || site.now-booting.provisionedAt > 3*site.cfg.CloudListLag+unlistedGrace) {
			delete(a.booting, name)
		}
	}
	for _, name := range unneeded {
		a.markedForDraining[name] = true
	}
}

// reconcileMachine updates the state of a machine from its entry in the machine list and
// reports whether the machine should be deprovisioned.
func (a *autoscaler) reconcileMachine(site *site, entry *wire.CloudMachine) (unneeded bool) {
	switch {
	case entry.Status == wire.MachineFailed:
		return true
	case site.hasReported(entry.Name):
		a.recordBoot(site, entry.Name)
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
