package ownership

import (
	"testing"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

const (
	self        = "n0"
	incarnation = "x"
	validity    = 20 * time.Second
)

// newTable is the table of n0 in zone a, with n1 in the same zone and n2 in zone b.
func newTable() *Table {
	members := []Member{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}}
	zones := map[string]int{"a": 0, "b": 1}
	t := New(Config{Self: self, Incarnation: incarnation, Zone: 0, Members: members, Validity: validity, MaxConditions: 2},
		ShardIDs([]string{"a", "b"}, members), len(zones), func(zone string) int { return zones[zone] })
	t.Lease.Renew(0).Answered(0, kv.OK, 7, time.Second)
	return t
}

func claimOf(owner, incarnation string) *wire.Shard {
	return &wire.Shard{Owner: owner, Incarnation: incarnation}
}

// A proof counts once the replica has reached its revision, for the term that it covers,
// and for the validity after it was sent or the lease was renewed.
func TestProofs(t *testing.T) {
	table := newTable()
	s := table.Shards()[0]
	if change := table.Put(time.Second, s, claimOf(self, incarnation), 5); change != Claimed {
		t.Fatalf("change %d, want %d", change, Claimed)
	}
	now := 2 * time.Second
	proofs := table.NextProofs(now)
	if len(proofs) != 1 || len(proofs[0].Conditions) != 1 || proofs[0].Conditions[0].Revision != 5 {
		t.Fatalf("proofs %+v", proofs)
	}
	if again := table.NextProofs(now); again != nil {
		t.Errorf("proofs are due again at once: %+v", again)
	}
	table.Lease.Renew(now).Answered(now, kv.OK, 7, time.Second)
	table.Succeeded(proofs[0], 9)
	table.Settle(now, 8)
	if table.MayAct(now, s) {
		t.Error("acts on a proof that the replica has not reached")
	}
	table.Settle(now, 9)
	if !table.MayAct(now+validity-1, s) || table.MayAct(now+validity, s) || table.ProvenAt() != now {
		t.Errorf("does not act for just the validity; proven at %v", table.ProvenAt())
	}
	table.Put(now, s, claimOf("n1", "y"), 10)
	table.Settle(now, 11)
	if table.MayAct(now, s) {
		t.Error("acts after another has claimed the shard")
	}
}

// A proof that was sent before a stall of the process does not count.
func TestStallVoidsProofs(t *testing.T) {
	table := newTable()
	s := table.Shards()[0]
	table.Put(time.Second, s, claimOf(self, incarnation), 5)
	proofs := table.NextProofs(2 * time.Second)
	table.Resumed(3 * time.Second)
	table.Succeeded(proofs[0], 6)
	table.Settle(3*time.Second, 6)
	if table.MayAct(3*time.Second, s) {
		t.Error("acts on a proof of before the stall")
	}
}

// Proofs of many shards are distributed over transactions within the limit of conditions.
func TestProofsKeepToTheLimitOfConditions(t *testing.T) {
	table := newTable()
	for i, s := range table.Shards() {
		table.Put(time.Second, s, claimOf(self, incarnation), uint64(5+i))
	}
	covered := 0
	for _, p := range table.NextProofs(2 * time.Second) {
		if len(p.Conditions) > table.cfg.MaxConditions {
			t.Errorf("%d conditions", len(p.Conditions))
		}
		covered += len(p.Conditions)
	}
	if covered != len(table.Shards()) {
		t.Errorf("%d of %d shards are covered", covered, len(table.Shards()))
	}
}

// Who may claim a shard, and why.
func TestMayClaim(t *testing.T) {
	well := Evidence{StoreOK: true, StoreAnswered: true, MachinesKnown: 40}
	with := func(change func(*Evidence)) Evidence {
		e := well
		change(&e)
		return e
	}
	ownHome, otherHome, otherZone := 0, 1, 2 // indices of shards
	other := claimOf("n2", "y")
	for _, c := range []struct {
		name     string
		shard    int
		claim    *wire.Shard
		waited   Time
		evidence Evidence
		want     Reason
	}{
		{"unowned, its home is here", ownHome, nil, 0, well, Unowned},
		{"unowned, of this zone, too early", otherHome, nil, unownedSameZoneWait, well, NotClaimable},
		{"unowned, of this zone", otherHome, nil, unownedSameZoneWait + 1, well, Unowned},
		{"unowned, of another zone", otherZone, nil, unownedOtherZoneWait + 1, well, Unowned},
		{"an earlier incarnation has it", otherHome, claimOf(self, "earlier"), 0, well, OwnShard},
		{"its owner is well", otherHome, other, time.Hour, well, NotClaimable},
		{"its owner is well, its home is here", ownHome, other, homeWait + 1, well, HomeRecovered},
		{"its owner is silent, nobody bounces", otherHome, other, time.Hour, with(func(e *Evidence) { e.OwnerSilent = true }), NotClaimable},
		{"its owner is silent, a machine bounces", otherHome, other, silentWait + 1, with(func(e *Evidence) { e.OwnerSilent, e.MachinesBounced = true, 1 }), OwnerSilent},
		{"its owner is silent, in another zone", otherZone, other, silentWait + 1, with(func(e *Evidence) { e.OwnerSilent, e.MachinesBounced = true, 1 }), NotClaimable},
		{"an eighth of its machines bounce", otherHome, other, bouncedWait + 1, with(func(e *Evidence) { e.MachinesBounced = 5 }), Unreachable},
		{"fewer of its machines bounce", otherHome, other, bouncedWait + 1, with(func(e *Evidence) { e.MachinesBounced = 4 }), NotClaimable},
		{"the only machine bounces", otherHome, other, bouncedWait + 1, with(func(e *Evidence) { e.MachinesKnown, e.MachinesBounced = 1, 1 }), Unreachable},
		{"its owner is refused", otherHome, other, 0, with(func(e *Evidence) { e.OwnerRefusedFor = refusedFor + 1 }), OwnerRefused},
		{"both are refused", otherHome, other, 0, with(func(e *Evidence) { e.OwnerRefusedFor, e.StoreOK = refusedFor+1, false }), NotClaimable},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			s := table.Shards()[c.shard]
			begun := time.Minute
			table.Put(begun, s, c.claim, 5)
			if got := table.MayClaim(begun+c.waited, s, func() Evidence { return c.evidence }); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
