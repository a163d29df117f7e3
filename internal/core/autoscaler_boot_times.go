package core

import (
	"slices"

	"micaport/internal/wire"
)

// A machine normally boots within one and a half times its type's boot time. A machine that takes
// longer may need several times as long, or never start. The scheduler stops planning with it, and
// it is deprovisioned a little later, because it costs money and occupies capacity.
//
// At times all machines boot slowly. Deprovisioning the oldest machines then gains nothing, and can
// leave a site without any machine until the cloud is fast again. Both limits therefore grow with
// the boot times of the machines that came up last. They are also longer until another machine that
// was provisioned with this one or after it is up: the late limit is doubled, and maxBootFactor
// replaces abandonBootFactor.
//
// The factors are multiples of the boot time of the machine's type.
const (
	normalBootFactor  = 1.5 // the longest normal boot
	lateBootFactor    = 1.6 // after this the scheduler no longer plans with the machine
	abandonBootFactor = 2.0 // after this the machine is deprovisioned
	maxBootFactor     = 8.0 // after this it is deprovisioned even if no later machine is up; also bounds bootSlowdown

	lateBootMarginSeconds    = 3 // seconds added to the late limit
	abandonBootMarginSeconds = 5 // seconds added to the limit for deprovisioning
	// sameBatchWindow is the longest time between the provisioning of two machines of one batch.
	sameBatchWindow = second
	// maxRecentBoots is the number of boots that bootSlowdown is computed from.
	maxRecentBoots = 24
)

// bootRecord records how long a machine took to come up.
type bootRecord struct {
	name          string
	provisionedAt Time
	ratio         float64 // measured boot time, as a multiple of the type's boot time
}

// completeBoot records the boot time of a booting machine that has come up, and removes it from the
// booting machines. It ignores other machines.
func (a *autoscaler) completeBoot(site *site, name string) {
	booting := a.booting[name]
	if booting == nil {
		return
	}
	delete(a.booting, name)
	if machineType := site.typeAt(booting.pool.machineType); machineType != nil && machineType.BootS > 0 {
		a.recentBoots = append(a.recentBoots, bootRecord{name, booting.provisionedAt, (site.now - booting.provisionedAt).Seconds() / machineType.BootS})
		a.recentBoots = a.recentBoots[max(0, len(a.recentBoots)-maxRecentBoots):]
	}
}

// bootSlowdown returns by which factor, from 1 to maxBootFactor, the recent boots were slower
// than normal: their 80th percentile divided by the longest normal boot.
func (a *autoscaler) bootSlowdown() float64 {
	if len(a.recentBoots) == 0 {
		return 1
	}
	ratios := make([]float64, 0, len(a.recentBoots))
	for _, boot := range a.recentBoots {
		ratios = append(ratios, boot.ratio)
	}
	slices.Sort(ratios)
	return max(1, min(maxBootFactor, ratios[len(ratios)*4/5]/normalBootFactor))
}

// overdue reports whether a machine that has not reported yet is late, so that the scheduler
// must not plan with it, and whether it is abandoned, so that it should be deprovisioned.
func (a *autoscaler) overdue(now Time, machineType *wire.MachineType, provisionedAt Time) (late, abandoned bool) {
	lateFactor, abandonFactor := lateBootFactor, abandonBootFactor
	if !slices.ContainsFunc(a.recentBoots, func(b bootRecord) bool { return b.provisionedAt >= provisionedAt-sameBatchWindow }) {
		lateFactor, abandonFactor = 2*lateBootFactor, maxBootFactor
	}
	age, slowdown := (now - provisionedAt).Seconds(), a.bootSlowdown()
	return age > lateFactor*slowdown*machineType.BootS+lateBootMarginSeconds, age > abandonFactor*slowdown*machineType.BootS+abandonBootMarginSeconds
}
