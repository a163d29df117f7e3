package core

import (
	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/wire"
)

// shard is a shard with the machines in it.
type shard struct {
	*ownership.Shard
	machines []*machine // machines that may still be there
}

// initOwnership lists the shards, of which nobody owns any yet.
func (n *Node) initOwnership() {
	const conditionsPerWrite = 4 // that a transaction may have for each write that it may have
	n.ownership = ownership.New(ownership.Config{
		Self: n.cfg.Self, Incarnation: n.cfg.Incarnation, Zone: n.names.Zones.Find(n.cfg.Zone), Members: n.cfg.Members,
		Validity: n.cfg.OwnerValidity, StateRPS: n.cfg.StateRPS, MaxConditions: conditionsPerWrite * n.cfg.MaxTransactionOps,
	}, ownership.ShardIDs(n.cfg.Zones, n.cfg.Members), n.names.Zones.Len(), n.names.Zones.Find)
	for _, s := range n.ownership.Shards() {
		n.shards = append(n.shards, &shard{Shard: s})
	}
}

// owns tells whether the replica shows the shard as claimed by this process.
func (s *site) owns(shard *shard) bool { return s.ownership.Owns(shard.Shard) }

// mayActAsOwner tells whether this controller may act as the owner of a shard now.
func (s *site) mayActAsOwner(shard *shard) bool { return s.ownership.MayAct(s.now, shard.Shard) }

// putShard applies the claim of a shard, or its end.
func (n *Node) putShard(shard *shard, claim *wire.Shard, revision uint64) {
	change := n.ownership.Put(n.now, shard.Shard, claim, revision)
	if change == ownership.Stale {
		return
	}
	// What machines did under the last owner says nothing about this one. Where it
	// counted, two peers took the shard from each other in turns.
	shard.forgetRedirects()
	n.discardOutcomes(shard)
	switch change {
	case ownership.Claimed:
		n.log(LogInfo, "shard claimed", "shard", shard.Name, "term", revision)
	case ownership.Lost:
		n.log(LogInfo, "shard lost", "shard", shard.Name)
	}
}

// discardOutcomes drops the outcomes of a shard's tasks that could not be written in the
// term in which they were found out. Another owner may have served the machines since;
// applied in a later term, they would start tasks a second time that still run.
func (n *Node) discardOutcomes(shard *shard) {
	for key, outcome := range n.outcomes {
		if task := n.activeTask(key, outcome.machine); task == nil || task.Shard == shard.Index {
			delete(n.outcomes, key)
		}
	}
}

// forgetRedirects forgets which of a shard's machines came here although they were redirected.
func (s *shard) forgetRedirects() {
	for _, machine := range s.machines {
		machine.redirectedAt, machine.bouncedAt = 0, 0
	}
}

// claimShards claims shards that nobody owns, and those whose owner can't serve their
// workers.
func (n *Node) claimShards() {
	if !n.ownership.Lease.Usable(n.now) {
		return
	}
	for _, shard := range n.shards {
		condition, claim, due := n.ownership.NextClaim(n.now, shard.Shard, func() bool { return n.mayClaim(shard) })
		if due {
			writes := append([]kv.Write{claim}, n.replica.SupportedFormatWrites()...)
			n.transact(ClassLease, []kv.Condition{condition}, writes, shardClaim{})
		}
	}
}

// mayClaim tells whether a shard that another controller or nobody owns may be claimed.
func (n *Node) mayClaim(shard *shard) bool {
	reason := n.ownership.MayClaim(n.now, shard.Shard, func() ownership.Evidence { return n.evidenceAgainst(shard) })
	switch reason {
	case ownership.Unreachable, ownership.OwnerSilent, ownership.OwnerRefused:
		n.log(LogInfo, "taking over shard", "reason", string(reason), "shard", shard.Name, "owner", shard.Record.Owner)
	}
	return reason != ownership.NotClaimable
}

const (
	// ownerSilence is how long nothing is heard from an owner that counts as silent.
	ownerSilence = 5 * second
	// bounceMemory is how long a machine that came here although it was redirected counts.
	bounceMemory = 12 * second
	// storeAnswerAge is how long ago the state service answered at most, where it counts as
	// serving this controller.
	storeAnswerAge = 2 * second
)

// evidenceAgainst gathers what speaks for taking a shard over from its owner.
func (n *Node) evidenceAgainst(shard *shard) ownership.Evidence {
	owner := n.peers[shard.Record.Owner]
	e := ownership.Evidence{
		OwnerSilent:     owner == nil || n.now-owner.receivedAt > ownerSilence,
		OwnerRefusedFor: n.peerRefusedFor(shard.Record.Owner),
		StoreOK:         n.storeOK,
		StoreAnswered:   n.now-n.storeAnsweredAt < storeAnswerAge,
	}
	for _, machine := range shard.machines {
		if machine.returned || machine.view.unreachable {
			continue
		}
		if machine.view.known && machine.view.missedHeartbeats < 2 {
			e.MachinesKnown++
		}
		if machine.bouncedAt > 0 && n.now-machine.bouncedAt < bounceMemory {
			e.MachinesBounced++
			if e.BouncingSince == 0 || machine.bouncingSince < e.BouncingSince {
				e.BouncingSince = machine.bouncingSince
			}
		}
	}
	return e
}

// peerRefusedFor is how long the state service has refused a peer while it serves us. An
// outage ends for one controller a moment before another.
func (n *Node) peerRefusedFor(name string) Time {
	peer := n.peers[name]
	if peer == nil || peer.message.StoreOK {
		return 0
	}
	return n.now - max(n.refusedSince[name], n.storeOKSince)
}

// shardClaim is the claim of a shard under way. Whether it succeeded shows in the replica.
type shardClaim struct{}

func (shardClaim) committed(n *Node, result Committed) {
	if result.Outcome == kv.LeaseExpired {
		n.ownership.Lease.Ended(n.now)
	}
}

// proveOwnership proves every couple of seconds that the claims of this process stand.
func (n *Node) proveOwnership() {
	for _, proof := range n.ownership.NextProofs(n.now) {
		n.transact(ClassLease, proof.Conditions, nil, ownershipProof{proof})
	}
}

// ownershipProof is a proof of claims under way.
type ownershipProof struct{ proof ownership.Proof }

func (p ownershipProof) committed(n *Node, result Committed) {
	if result.Outcome == kv.OK {
		n.ownership.Succeeded(p.proof, result.Revision)
		n.ownership.Settle(n.now, n.replica.Revision())
	}
}
