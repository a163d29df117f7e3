package ownership

import "time"

// Evidence is what speaks for and against taking a shard over from its owner.
type Evidence struct {
	// MachinesKnown counts the machines whose owner has heard them lately.
	MachinesKnown int
	// MachinesBounced counts the machines that came to this controller although they had
	// been redirected to the owner: they can't reach it. A single one among many may be
	// cut off by itself, which says nothing about the owner.
	MachinesBounced int
	BouncingSince   Time // since when the first of these has done so
	// OwnerSilent says that the owner has not been heard from for a while.
	OwnerSilent bool
	// OwnerRefusedFor is how long the state service has refused the owner while it serves
	// this controller; 0: it does not refuse it.
	OwnerRefusedFor Time
	// StoreOK says that the state service serves this controller.
	StoreOK bool
	// StoreAnswered says that it answered a moment ago.
	StoreAnswered bool
}

// Reason is why a shard may be claimed.
type Reason string

// Reasons; the texts go into the log.
const (
	NotClaimable  Reason = ""
	Unowned       Reason = "no owner"
	OwnShard      Reason = "an earlier incarnation of this controller owns it"
	Unreachable   Reason = "workers cannot reach the owner"
	OwnerSilent   Reason = "owner is silent"
	OwnerRefused  Reason = "state service refuses the owner"
	HomeRecovered Reason = "this controller is its home and is well"
)

// Waits before a claim, counted from when the shard last changed hands, and how long the
// evidence must have lasted.
const (
	unownedSameZoneWait  = 2 * time.Second
	unownedOtherZoneWait = 4 * time.Second // and a second more for each controller before this one
	otherZoneWait        = 4 * time.Second // more, where the shard is in another zone
	bouncedFor           = 2 * time.Second
	bouncedWait          = 10 * time.Second
	silentWait           = 5 * time.Second
	refusedFor           = 4 * time.Second
	homeWait             = 60 * time.Second
)

// An eighth of a shard's machines have to bounce, between two and twelve of them, and all
// where there are fewer.
const (
	bouncedFraction   = 8
	minBounced        = 2
	maxBouncedToClaim = 12
)

// enoughBounced tells whether so many machines bounce that the owner must be at fault.
func (e *Evidence) enoughBounced() bool {
	needed := max(1, min(e.MachinesKnown, max(minBounced, min(e.MachinesKnown/bouncedFraction, maxBouncedToClaim))))
	return e.MachinesBounced >= needed
}

// MayClaimUnowned tells whether a shard without an owner may be claimed: its home controller
// first, then the others of its zone, then the rest in the order of their names.
func (t *Table) mayClaimUnowned(waited Time, s *Shard) bool {
	switch {
	case s.HomeController == t.cfg.Self:
		return true
	case s.Zone == t.cfg.Zone:
		return waited > unownedSameZoneWait
	}
	return waited > unownedOtherZoneWait+Time(t.Rank())*time.Second
}

// MayClaim tells whether a shard that this process does not own may be claimed now, and
// why. The evidence is asked for only where it matters.
func (t *Table) MayClaim(now Time, s *Shard, gather func() Evidence) Reason {
	waited := now - s.ClaimableSince
	switch {
	case s.Record == nil && t.mayClaimUnowned(waited, s):
		return Unowned
	case s.Record == nil:
		return NotClaimable
	case s.Record.Owner == t.cfg.Self:
		return OwnShard
	}
	e := gather()
	extra := Time(0)
	if s.Zone != t.cfg.Zone {
		extra = otherZoneWait
	}
	switch {
	case e.enoughBounced() && now-e.BouncingSince > bouncedFor+extra && waited > bouncedWait:
		return Unreachable
	case e.OwnerSilent && e.MachinesBounced >= 1 && waited > silentWait+extra:
		return OwnerSilent
	case !e.OwnerSilent && e.StoreOK && e.StoreAnswered && e.OwnerRefusedFor > refusedFor+extra:
		return OwnerRefused
	case s.HomeController == t.cfg.Self && waited > homeWait && e.StoreOK && !e.OwnerSilent:
		// The home controller stands beside the workers.
		return HomeRecovered
	}
	return NotClaimable
}
