package core

import (
	"slices"
	"strings"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// applyRecordChanges applies events of the watch to the replica and the state derived from it.
func (n *Node) applyRecordChanges(c RecordsChanged) {
	if c.Reset {
		n.deleteUnlisted(c)
	}
	n.applyEvents(n.withoutUnknownShards(c.Events))
	if c.Reset {
		n.ownership.AssumeRecentTakeovers(n.now)
	} else {
		n.countWrites(len(c.Events))
	}
	n.replica.MarkApplied(c.Revision, c.Reset)
	n.leader.passNeeded = true
	n.ownership.ApplyReachedProofs(n.now, n.replica.Revision())
	n.applyReachedLeaderProofs()
	n.replies.nextCheckAt = 0 // check the delayed replies at once
	n.batch.endIfOutcomeShown(n)
	n.leader.batch.endIfOutcomeShown(n)
}

// deleteUnlisted deletes the records that a full listing does not contain.
func (n *Node) deleteUnlisted(listing RecordsChanged) {
	listed := map[string]bool{}
	for _, e := range listing.Events {
		listed[e.Key] = true
	}
	n.replica.DeleteUnlisted(listed, listing.Revision)
	for _, shard := range n.shards {
		if shard.Record != nil && !listed[wire.ShardKey(shard.Name)] {
			n.applyShardClaim(shard, nil, listing.Revision)
		}
	}
	n.gangs.DeleteUnlisted(listed)
	n.machineTypes.DeleteUnlisted(listed)
	if !listed[wire.LeaderKey] {
		n.putLeader(nil, listing.Revision)
	}
}

// withoutUnknownShards returns events without the records that name shards which the deployment does
// not have. Like records that can't be decoded, they are left out.
func (n *Node) withoutUnknownShards(events []kv.Event) []kv.Event {
	namesUnknownShard := func(e kv.Event) bool { return n.namesUnknownShard(e.Value) }
	if !slices.ContainsFunc(events, namesUnknownShard) {
		return events
	}
	known := slices.Clone(events)
	return slices.DeleteFunc(known, func(e kv.Event) bool {
		unknown := namesUnknownShard(e)
		if unknown {
			n.log(LogError, "record names an unknown shard, ignoring it", "key", e.Key, "revision", e.Revision)
		}
		return unknown
	})
}

// namesUnknownShard reports whether a record names a shard that the deployment does not have.
func (n *Node) namesUnknownShard(record wire.Record) bool {
	isUnknown := func(shard int) bool { return shard < 0 || shard >= len(n.shards) }
	anyTask := func(tasks wire.ActiveTasks) bool {
		return slices.ContainsFunc(tasks, func(task wire.ActiveTask) bool { return isUnknown(task.Shard) })
	}
	switch v := record.(type) {
	case *wire.Job:
		return anyTask(v.ActiveTasks)
	case *wire.Overflow:
		return anyTask(v.ActiveTasks)
	case *wire.Gang:
		return slices.ContainsFunc(v.Shards, isUnknown)
	}
	return false
}

// applyEvents applies events in order. Dependency lists and overflow keys are applied before
// all records, as a record is complete only together with them. If an overflow key changes,
// only the last event of each job's record is applied, because the overflow keys already have
// their final contents.
func (n *Node) applyEvents(events []kv.Event) {
	var lastEvent map[string]int // index of the last event of each key, if an overflow key changes
	for i, e := range events {
		if list, ok := e.Value.(*wire.DependencyList); ok {
			n.replica.PutDependencyList(e.Key, list) // in a full listing the lists follow the record
		}
		if !strings.HasPrefix(e.Key, wire.OverflowPrefix) {
			continue
		}
		overflow, _ := e.Value.(*wire.Overflow)
		n.replica.PutOverflow(e.Key, overflow)
		if lastEvent == nil {
			lastEvent = map[string]int{}
			for k, e := range events {
				lastEvent[e.Key] = k
			}
		}
		lastEvent[e.Key] = i
	}
	for i, e := range events {
		if lastEvent == nil || lastEvent[e.Key] == i || !strings.HasPrefix(e.Key, wire.JobPrefix) {
			n.applyEvent(e)
		}
	}
}

// applyEvent applies the change of one record to the part of the state that the record belongs to.
func (n *Node) applyEvent(e kv.Event) {
	switch v := e.Value.(type) {
	case *wire.SupportedFormat:
		n.replica.PutFormat(e.Key[len(wire.FormatPrefix):], v)
	case *wire.Job:
		n.replica.PutJob(e.Key[len(wire.JobPrefix):], v, e.Revision)
	case *wire.Shard:
		if shard := n.shardWithKey(e.Key); shard != nil {
			n.applyShardClaim(shard, v, e.Revision)
		}
	case *wire.Leader:
		n.putLeader(v, e.Revision)
	case *wire.Takeovers:
		n.putTakeovers(v)
	case *wire.Account:
		n.replica.PutAccount(wire.AccountTeam(e.Key), v, e.Revision)
	case *wire.Gang:
		n.gangs.Put(n.now, e.Key, v, e.Revision)
	case *wire.Gossip:
		if n.replica.Loaded() { // a message in the first listing may be old, but would count as received now
			n.applyMailboxMessage(v)
		}
	case *wire.ImageCache:
		n.putImageCache(v)
	case *wire.MachineTypeHead:
		n.machineTypes.PutHead(v, e.Revision)
	case *wire.MachineTypePart:
		n.machineTypes.PutPart(e.Key, v, e.Revision)
	case *wire.MachineTypeCache:
		n.machineTypes.PutRecord(v, e.Revision)
	case nil:
		n.applyDelete(e)
	}
}

// applyDelete applies the deletion of a key. Job records are never deleted.
func (n *Node) applyDelete(e kv.Event) {
	switch {
	case e.Key == wire.LeaderKey:
		n.putLeader(nil, e.Revision)
	case strings.HasPrefix(e.Key, wire.ShardPrefix):
		if shard := n.shardWithKey(e.Key); shard != nil {
			n.applyShardClaim(shard, nil, e.Revision)
		}
	case strings.HasPrefix(e.Key, wire.GangPrefix):
		n.gangs.Delete(e.Key)
	case strings.HasPrefix(e.Key, wire.AccountPrefix):
		n.replica.PutAccount(wire.AccountTeam(e.Key), nil, e.Revision)
	default:
		n.machineTypes.Delete(e.Key)
	}
}
