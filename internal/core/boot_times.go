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
func (c *autoscaler) noteBooted(n *Node, name string) {
	b := c.booting[name]
	if b == nil {
		return
	}
	delete(c.booting, name)
	if r := n.typeAt(b.pool.machineType); r != nil && r.BootS > 0 {
		c.recentBoots = append(c.recentBoots, boot{name, b.provisionedAt, (n.now - b.provisionedAt).Seconds() / r.BootS})
		c.recentBoots = c.recentBoots[max(0, len(c.recentBoots)-maxRecentBoots):]
	}
}

// bootSlowdown is how many times longer than usual machines have taken lately: the
// upper fifth, as the usual spread is no slowness.
func (c *autoscaler) bootSlowdown() float64 {
	if len(c.recentBoots) == 0 {
		return 1
	}
	var all []float64
	for _, b := range c.recentBoots {
		all = append(all, b.ratio)
	}
	slices.Sort(all)
	return max(1, min(maxBootFactor, all[len(all)*4/5]/1.5))
}

// overdue tells whether a machine that was rented some time ago is late, and
// whether it should go back.
func (n *Node) overdue(r *wire.MachineType, rented Time) (late, giveUp bool) {
	c := &n.leader.autoscaler
	age, slow := (n.now - rented).Seconds(), c.bootSlowdown()
	if !slices.ContainsFunc(c.recentBoots, func(b boot) bool { return b.provisionedAt >= rented-second }) {
		return age > 2*lateBootFactor*slow*r.BootS+3, age > maxBootFactor*slow*r.BootS+5
	}
	return age > lateBootFactor*slow*r.BootS+3, age > giveUpBootFactor*slow*r.BootS+5
}
