package core

import (
	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/wire"
)

// shard is the state of a shard's ownership, with the machines in the shard.
type shard struct {
	*ownership.Shard
	machines []*machine // without machines that are gone; see removeGoneMachines
}

// initOwnership creates the shards, none of which has an owner yet.
func (n *Node) initOwnership() {
	const conditionsPerWrite = 4 // allowed conditions of a transaction for each allowed write
	n.ownership = ownership.New(ownership.Config{
		Self: n.cfg.Self, Incarnation: n.cfg.Incarnation, Zone: n.names.Zones.Find(n.cfg.Zone), Members: n.cfg.Members,
		Validity: n.cfg.OwnerValidity, StateRPS: n.cfg.StateRPS, MaxConditions: conditionsPerWrite * n.cfg.MaxTransactionOps,
	}, ownership.ShardIDs(n.cfg.Zones, n.cfg.Members), n.names.Zones.Len(), n.names.Zones.Find)
	for _, s := range n.ownership.Shards() {
		n.shards = append(n.shards, &shard{Shard: s})
	}
}

// owns reports whether the replica shows the shard as claimed by this process.
func (s *site) owns(shard *shard) bool { return s.ownership.Owns(shard.Shard) }

// mayActAsOwner reports whether this controller may act as the owner of a shard now.
func (s *site) mayActAsOwner(shard *shard) bool { return s.ownership.MayAct(s.now, shard.Shard) }

// applyShardClaim applies a new claim of a shard, or the deletion of a claim, at a revision.
func (n *Node) applyShardClaim(shard *shard, claim *wire.Shard, revision uint64) {
	change := n.ownership.Put(n.now, shard.Shard, claim, revision)
	if change == ownership.Stale {
		return
	}
	// Redirects to the previous owner, and workers that could not reach it, are no evidence against
	// the new one. If they counted, two peers would repeatedly take the shard from each other.
	shard.clearRedirects()
	n.discardOutcomes(shard)
	switch change {
	case ownership.Claimed:
		n.log(LogInfo, "shard claimed", "shard", shard.Name, "term", revision)
	case ownership.Lost:
		n.log(LogInfo, "shard lost", "shard", shard.Name)
	}
}

// discardOutcomes deletes the queued outcomes of a shard's tasks, and those of tasks that are no
// longer active, when the shard's term changes. Another owner may have served the machines since
// the outcomes were queued, and applying them in a later term would start tasks a second time that
// are still running.
func (n *Node) discardOutcomes(shard *shard) {
	for key, outcome := range n.outcomes {
		if task := n.activeTask(key, outcome.machine); task == nil || task.Shard == shard.Index {
			delete(n.outcomes, key)
		}
	}
}

// clearRedirects clears, for each of a shard's machines, the records that it was redirected and
// could not reach its owner.
func (s *shard) clearRedirects() {
	for _, machine := range s.machines {
		machine.redirectedAt, machine.ownerUnreachableAt = 0, 0
	}
}

// claimShards claims shards without an owner, and shards whose owner can't serve the workers.
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

// mayClaim reports whether a shard that this process does not own may be claimed.
func (n *Node) mayClaim(shard *shard) bool {
	reason := n.ownership.ClaimReason(n.now, shard.Shard, func() ownership.Evidence { return n.takeoverEvidence(shard) })
	switch reason {
	case ownership.Unreachable, ownership.OwnerSilent, ownership.OwnerRefused:
		n.log(LogInfo, "taking over shard", "reason", string(reason), "shard", shard.Name, "owner", shard.Record.Owner)
	}
	return reason != ownership.NotClaimable
}

const (
	// ownerSilenceTimeout is the time without a message after which an owner counts as silent.
	ownerSilenceTimeout = 5 * second
	// ownerUnreachableRetention is how long a heartbeat of a worker that can't reach its owner
	// counts as evidence; see misdirectedHeartbeats.
	ownerUnreachableRetention = 12 * second
	// maxStoreAnswerAge is the greatest age of the state service's last answer at which it counts
	// as serving this controller.
	maxStoreAnswerAge = 2 * second
)

// takeoverEvidence collects the evidence for and against taking a shard over from its owner.
func (n *Node) takeoverEvidence(shard *shard) ownership.Evidence {
	owner := n.peers[shard.Record.Owner]
	e := ownership.Evidence{
		OwnerSilent:     owner == nil || n.now-owner.receivedAt > ownerSilenceTimeout,
		OwnerRefusedFor: n.peerRefusalDuration(shard.Record.Owner),
		StoreOK:         n.storeOK,
		StoreAnswered:   n.now-n.storeAnsweredAt < maxStoreAnswerAge,
	}
	for _, machine := range shard.machines {
		if machine.deprovisioned || machine.view.unreachable {
			continue
		}
		if machine.view.reportedByOwner && machine.view.missedHeartbeats < 2 {
			e.MachinesReporting++
		}
		if machine.ownerUnreachableAt > 0 && n.now-machine.ownerUnreachableAt < ownerUnreachableRetention {
			e.MachinesNotReachingOwner++
			if e.OwnerUnreachableSince == 0 || machine.ownerUnreachableSince < e.OwnerUnreachableSince {
				e.OwnerUnreachableSince = machine.ownerUnreachableSince
			}
		}
	}
	return e
}

// peerRefusalDuration returns how long the state service has refused a peer while it has served
// this controller. The duration counts from the later of the two changes, the start of the refusals
// and the start of service here, as an outage does not end for all controllers at the same time.
func (n *Node) peerRefusalDuration(name string) Time {
	peer := n.peers[name]
	if peer == nil || peer.message.StoreOK {
		return 0
	}
	return n.now - max(n.storeRefusedSince[name], n.storeOKSince)
}

// shardClaim handles the result of a claim. The replica shows whether the claim succeeded.
type shardClaim struct{}

func (shardClaim) committed(n *Node, result Committed) {
	if result.Outcome == kv.LeaseExpired {
		n.ownership.Lease.MarkExpired(n.now)
	}
}

// proveOwnership sends the proofs that are due, which check every few seconds that the claims of
// this process still hold.
func (n *Node) proveOwnership() {
	for _, proof := range n.ownership.NextProofs(n.now) {
		n.transact(ClassLease, proof.Conditions, nil, ownershipProof{proof})
	}
}

// ownershipProof handles the result of a proof of claims.
type ownershipProof struct{ proof ownership.Proof }

func (p ownershipProof) committed(n *Node, result Committed) {
	if result.Outcome == kv.OK {
		n.ownership.AddProof(p.proof, result.Revision)
		n.ownership.ApplyReachedProofs(n.now, n.replica.Revision())
	}
}
