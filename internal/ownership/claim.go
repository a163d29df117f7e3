package ownership

import "time"

// Evidence is the evidence for and against taking a shard over from its owner.
type Evidence struct {
	// MachinesReporting is the number of machines whose heartbeats the owner has recently received.
	MachinesReporting int
	// MachinesNotReachingOwner is the number of machines whose workers have recently sent this
	// controller a heartbeat, apparently because they can't reach the owner. A single one among many
	// may have lost its own connection, which is no evidence against the owner.
	MachinesNotReachingOwner int
	OwnerUnreachableSince    Time // since when the first of these machines has not reached the owner; 0: there are none
	// OwnerSilent is set if the owner has sent no message for a while.
	OwnerSilent bool
	// OwnerRefusedFor is how long the state service has refused to serve the owner while it
	// served this controller; 0: it does not refuse the owner.
	OwnerRefusedFor Time
	// StoreOK is set if the state service serves this controller.
	StoreOK bool
	// StoreAnswered is set if the state service has recently answered.
	StoreAnswered bool
}

// Reason is the reason for which a shard may be claimed.
type Reason string

// Reasons for a claim. Their texts are logged.
const (
	NotClaimable  Reason = ""
	Unowned       Reason = "no owner"
	OwnShard      Reason = "an earlier incarnation of this controller owns it"
	NewTerm       Reason = "this controller owns it and needs a new term"
	Unreachable   Reason = "workers cannot reach the owner"
	OwnerSilent   Reason = "owner is silent"
	OwnerRefused  Reason = "state service refuses the owner"
	HomeRecovered Reason = "this controller is its home and is well"
)

// Minimum times before a claim. The waits are counted from Shard.claimWaitStart,
// minOwnerUnreachableTime and minRefusedTime from the beginning of the evidence.
const (
	unownedSameZoneWait     = 2 * time.Second
	unownedOtherZoneWait    = 4 * time.Second // plus a second for each controller before this one
	otherZoneExtraWait      = 4 * time.Second // additional, if the shard is in another zone
	minOwnerUnreachableTime = 2 * time.Second
	unreachableWait         = 10 * time.Second
	ownerSilentWait         = 5 * time.Second
	minRefusedTime          = 4 * time.Second
	homeRecoveredWait       = 60 * time.Second
)

// The number of machines not reaching the owner that justifies a claim is an eighth of a shard's
// machines, but at least two and at most twelve. If the shard has fewer machines, it is all of them.
const (
	notReachingDivisor     = 8
	minNotReachingRequired = 2
	maxNotReachingRequired = 12
)

// ownerLikelyUnreachable reports whether so many machines can't reach the owner that the fault is
// probably the owner's.
func (e *Evidence) ownerLikelyUnreachable() bool {
	needed := max(1, min(e.MachinesReporting, max(minNotReachingRequired, min(e.MachinesReporting/notReachingDivisor, maxNotReachingRequired))))
	return e.MachinesNotReachingOwner >= needed
}

// mayClaimUnowned reports whether a shard without an owner may be claimed after a wait. The home
// controller may claim it first, then the other controllers of its zone, and then the remaining
// ones in the order of their names.
func (t *Table) mayClaimUnowned(waited Time, s *Shard) bool {
	switch {
	case s.HomeController == t.cfg.Self:
		return true
	case s.Zone == t.cfg.Zone:
		return waited > unownedSameZoneWait
	}
	return waited > unownedOtherZoneWait+Time(t.Rank())*time.Second
}

// ClaimReason returns the reason why a shard that this process does not own, or for which a new term
// was requested, may be claimed now, or NotClaimable. It calls gather only if the result depends on the evidence.
func (t *Table) ClaimReason(now Time, s *Shard, gather func() Evidence) Reason {
	waited := now - s.claimWaitStart
	switch {
	case s.Record == nil && t.mayClaimUnowned(waited, s):
		return Unowned
	case s.Record == nil:
		return NotClaimable
	case t.Owns(s):
		return NewTerm
	case s.Record.Owner == t.cfg.Self:
		return OwnShard
	}
	e := gather()
	extra := Time(0)
	if s.Zone != t.cfg.Zone {
		extra = otherZoneExtraWait
	}
	switch {
	case e.ownerLikelyUnreachable() && now-e.OwnerUnreachableSince > minOwnerUnreachableTime+extra && waited > unreachableWait:
		return Unreachable
	case e.OwnerSilent && e.MachinesNotReachingOwner >= 1 && waited > ownerSilentWait+extra:
		return OwnerSilent
	case !e.OwnerSilent && e.StoreOK && e.StoreAnswered && e.OwnerRefusedFor > minRefusedTime+extra:
		return OwnerRefused
	case s.HomeController == t.cfg.Self && waited > homeRecoveredWait && e.StoreOK && !e.OwnerSilent:
		// The home controller is preferred as the owner, because it is in the workers' zone.
		return HomeRecovered
	}
	return NotClaimable
}
