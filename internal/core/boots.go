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
	lateBoot   = 1.6
	giveUpBoot = 2.0
	patientFor = 8.0 // where nothing has come up that was rented as late
)

// bootsKept is how many boots are remembered.
const bootsKept = 24

// boot is a machine that has come up.
type boot struct {
	name   string
	rented Time
	ratio  float64 // to its type's boot time
}

// cameUp notes that a machine that was awaited is up.
func (c *cloudState) cameUp(n *Node, name string) {
	b := c.booting[name]
	if b == nil {
		return
	}
	delete(c.booting, name)
	if r := n.flavor(b.pool.rig); r != nil && r.BootS > 0 {
		c.boots = append(c.boots, boot{name, b.since, (n.now - b.since).Seconds() / r.BootS})
		c.boots = c.boots[max(0, len(c.boots)-bootsKept):]
	}
}

// slowness is how many times longer than usual machines have taken lately: the
// upper fifth, as the usual spread is no slowness.
func (c *cloudState) slowness() float64 {
	if len(c.boots) == 0 {
		return 1
	}
	var all []float64
	for _, b := range c.boots {
		all = append(all, b.ratio)
	}
	slices.Sort(all)
	return max(1, min(patientFor, all[len(all)*4/5]/1.5))
}

// overdue tells whether a machine that was rented some time ago is late, and
// whether it should go back.
func (n *Node) overdue(r *wire.Flavor, rented Time) (late, giveUp bool) {
	c := &n.leader.cloud
	age, slow := (n.now - rented).Seconds(), c.slowness()
	if !slices.ContainsFunc(c.boots, func(b boot) bool { return b.rented >= rented-second }) {
		return age > 2*lateBoot*slow*r.BootS+3, age > patientFor*slow*r.BootS+5
	}
	return age > lateBoot*slow*r.BootS+3, age > giveUpBoot*slow*r.BootS+5
}
