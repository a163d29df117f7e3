package core

import (
	"slices"

	"micaport/internal/wire"
)

// A machine boots in up to one and a half times its type's boot time. One that
// takes longer may take several times as long or never come: it is planned
// without from then on, and returned a little later if it still has not come,
// as it costs money and takes the place of another.
//
// On some days all of them are late. Then nothing is gained by returning those
// that have waited longest: that once left a site without any machine for as long
// as the trouble lasted. So both limits follow the boots that have been seen lately,
// and a machine is given up early only when one that was rented with it or after
// it is up already.
const (
	lateBootFactor   = 1.6
	giveUpBootFactor = 2.0
	maxBootFactor    = 8.0 // where nothing has come up that was rented as late
)

// maxRecentBoots is how many boots are remembered.
const maxRecentBoots = 24

// boot is a machine that has come up.
type boot struct {
	name          string
	provisionedAt Time
	ratio         float64 // to its type's boot time
}

// noteBooted notes that a machine that was awaited is up.
func (scaler *autoscaler) noteBooted(n *Node, name string) {
	booting := scaler.booting[name]
	if booting == nil {
		return
	}
	delete(scaler.booting, name)
	if machineType := n.typeAt(booting.pool.machineType); machineType != nil && machineType.BootS > 0 {
		scaler.recentBoots = append(scaler.recentBoots, boot{name, booting.provisionedAt, (n.now - booting.provisionedAt).Seconds() / machineType.BootS})
		scaler.recentBoots = scaler.recentBoots[max(0, len(scaler.recentBoots)-maxRecentBoots):]
	}
}

// bootSlowdown is how many times longer than usual machines have taken lately: the
// upper fifth, as the usual spread is no slowness.
func (scaler *autoscaler) bootSlowdown() float64 {
	if len(scaler.recentBoots) == 0 {
		return 1
	}
	var all []float64
	for _, b := range scaler.recentBoots {
		all = append(all, b.ratio)
	}
	slices.Sort(all)
	return max(1, min(maxBootFactor, all[len(all)*4/5]/1.5))
}

// overdue tells whether a machine that was rented some time ago is late, and
// whether it should go back.
func (n *Node) overdue(machineType *wire.MachineType, rented Time) (late, giveUp bool) {
	scaler := &n.leader.autoscaler
	age, slow := (n.now - rented).Seconds(), scaler.bootSlowdown()
	if !slices.ContainsFunc(scaler.recentBoots, func(b boot) bool { return b.provisionedAt >= rented-second }) {
		return age > 2*lateBootFactor*slow*machineType.BootS+3, age > maxBootFactor*slow*machineType.BootS+5
	}
	return age > lateBootFactor*slow*machineType.BootS+3, age > giveUpBootFactor*slow*machineType.BootS+5
}
