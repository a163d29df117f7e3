package core

import "micaport/internal/wire"

const (
	// unreportedGrace is how long beyond the workers' lease a machine that runs by the
	// machine list may go without a report before it is deprovisioned.
	unreportedGrace = 10 * second
	// unlistedGrace is how long beyond thrice the lag of the machine list a provisioned
	// machine may be missing there before it is no longer expected.
	unlistedGrace = 10 * second
)

// reconcileMachineList compares the cloud's machine list, which lags, with the machines
// that are expected or have reported, and has those deprovisioned that are of no use.
func (a *autoscaler) reconcileMachineList(site *site, list []wire.CloudMachine) {
	listed := make(map[string]bool, len(list))
	var useless []string
	for i := range list {
		entry := &list[i]
		listed[entry.Name] = true
		if machine := site.knownMachine(entry.Name); machine != nil && machine.returned {
			continue
		}
		if a.reconcileMachine(site, entry) {
			useless = append(useless, entry.Name)
		}
	}
	for name, booting := range a.booting {
		if !listed[name] && (booting.listed || site.now-booting.provisionedAt > 3*site.cfg.CloudListLag+unlistedGrace) {
			delete(a.booting, name)
		}
	}
	for _, name := range useless {
		a.draining[name] = true
	}
}

// reconcileMachine takes in an entry of the machine list and reports whether the machine is
// to be deprovisioned.
func (a *autoscaler) reconcileMachine(site *site, entry *wire.CloudMachine) (useless bool) {
	switch {
	case entry.Status == wire.MachineFailed:
		return true
	case site.hasReported(entry.Name):
		a.noteBooted(site, entry.Name)
		delete(a.unreportedSince, entry.Name)
		return false
	case entry.Status == wire.MachineBooting:
		provisionedAt := site.now - Time(entry.AgeS*float64(second))
		booting := a.booting[entry.Name]
		if booting == nil {
			booting = &bootingMachine{pool: machinePool{site.names.MachineTypes.Of(entry.MachineType), site.names.Zones.Of(entry.Zone), entry.Spot}, provisionedAt: provisionedAt}
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
