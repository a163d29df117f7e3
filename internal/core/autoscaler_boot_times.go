package core

import (
	"slices"

	"micaport/internal/wire"
)

// A machine boots in up to one and a half times its type's boot time. One that takes longer
// may take several times as long or never come: it is left out of the plan from then on, and
// deprovisioned a little later, as it costs money and takes up capacity.
//
// On some days all machines are late. Deprovisioning those that have booted for longest then
// gains nothing: it once left a site without any machine for as long as the trouble lasted.
// So both limits follow the boots of the last machines that came up, and a machine is
// abandoned early only if one that was provisioned with it or after it is up already.
const (
	usualBootSpread  = 1.5 // boots take up to so many times their type's boot time
	lateBootFactor   = 1.6 // of the boot time: left out of the plan
	giveUpBootFactor = 2.0 // of the boot time: deprovisioned
	maxBootFactor    = 8.0 // of the boot time: deprovisioned though no later machine has come up

	lateBootMargin   = 3 // seconds
	giveUpBootMargin = 5 // seconds
	// sameBatchTime is how far apart machines of one batch may have been provisioned.
	sameBatchTime = second
	// maxRecentBoots is how many boots are remembered.
	maxRecentBoots = 24
)

// boot is a machine that has come up.
type boot struct {
	name          string
	provisionedAt Time
	ratio         float64 // of the time that it took to its type's boot time
}

// noteBooted notes that an expected machine is up.
func (a *autoscaler) noteBooted(site *site, name string) {
	booting := a.booting[name]
	if booting == nil {
		return
	}
	delete(a.booting, name)
	if machineType := site.typeAt(booting.pool.machineType); machineType != nil && machineType.BootS > 0 {
		a.recentBoots = append(a.recentBoots, boot{name, booting.provisionedAt, (site.now - booting.provisionedAt).Seconds() / machineType.BootS})
		a.recentBoots = a.recentBoots[max(0, len(a.recentBoots)-maxRecentBoots):]
	}
}

// bootSlowdown is how many times longer than usual the last machines took to boot, from 1 to
// maxBootFactor. It follows their 80th percentile, beyond the usual spread.
func (a *autoscaler) bootSlowdown() float64 {
	if len(a.recentBoots) == 0 {
		return 1
	}
	ratios := make([]float64, 0, len(a.recentBoots))
	for _, boot := range a.recentBoots {
		ratios = append(ratios, boot.ratio)
	}
	slices.Sort(ratios)
	return max(1, min(maxBootFactor, ratios[len(ratios)*4/5]/usualBootSpread))
}

// overdue reports whether a machine that has not reported yet is late, and whether it should
// be deprovisioned.
func (a *autoscaler) overdue(now Time, machineType *wire.MachineType, provisionedAt Time) (late, abandoned bool) {
	lateFactor, giveUpFactor := lateBootFactor, giveUpBootFactor
	if !slices.ContainsFunc(a.recentBoots, func(b boot) bool { return b.provisionedAt >= provisionedAt-sameBatchTime }) {
		lateFactor, giveUpFactor = 2*lateBootFactor, maxBootFactor
	}
	age, slowdown := (now - provisionedAt).Seconds(), a.bootSlowdown()
	return age > lateFactor*slowdown*machineType.BootS+lateBootMargin, age > giveUpFactor*slowdown*machineType.BootS+giveUpBootMargin
}
