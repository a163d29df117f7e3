package replica

import (
	"maps"
	"slices"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// EarlyOverflowWrites returns those of the given writes that write overflow keys to which the stored
// record does not refer yet: the last ones, at most maxWrites. storedKeys is the number of overflow
// keys to which the stored record refers. The returned writes can be made in an earlier transaction,
// as the keys have no effect until the record refers to them. A record with too many writes for one
// transaction can thus be stored by several, and no task is missing from the stored state in
// between.
func EarlyOverflowWrites(writes []kv.Write, storedKeys, maxWrites int) []kv.Write {
	var early []kv.Write
	for i := len(writes) - 1; i >= 0 && len(early) < maxWrites; i-- {
		if _, isOverflow := writes[i].Value.(*wire.Overflow); isOverflow {
			if _, number := wire.SplitOverflowKey(writes[i].Key); number > storedKeys {
				early = append(early, writes[i])
			}
		}
	}
	return early
}

// DeferDeletions removes deletions of overflow keys from the writes of a record until at most
// maxWrites remain. The record does not refer to these keys any more, so that they have no effect
// until they are written again; see UnusedOverflowKeys.
func DeferDeletions(writes []kv.Write, maxWrites int) []kv.Write {
	kept := len(writes)
	for kept > max(1, maxWrites) && writes[kept-1].Value == nil {
		kept--
	}
	return writes[:kept]
}

// UnusedOverflowKeys returns the overflow keys of finished jobs without active tasks, in order, at
// most a number of them. They were left behind by DeferDeletions.
func (r *Replica) UnusedOverflowKeys(limit int) []UnusedOverflowKey {
	var unused []UnusedOverflowKey
	for _, id := range slices.Sorted(maps.Keys(r.overflow)) {
		job := r.Find(id)
		if job == nil || job.Record == nil || job.Record.State == wire.JobLive || len(job.Record.ActiveTasks) > 0 || job.Record.OverflowKeys > 0 {
			continue
		}
		for _, number := range slices.Sorted(maps.Keys(r.overflow[id])) {
			if len(unused) == limit {
				return unused
			}
			unused = append(unused, UnusedOverflowKey{Key: wire.OverflowKey(id, number), Job: job})
		}
	}
	return unused
}

// UnusedOverflowKey is an overflow key to which the record of its job does not refer any more.
type UnusedOverflowKey struct {
	Key string
	Job *Job
}

// deleteOverflow returns writes that delete the overflow keys with the numbers from first to
// last, inclusive.
func deleteOverflow(id string, first, last int) []kv.Write {
	var writes []kv.Write
	for number := first; number <= last; number++ {
		writes = append(writes, kv.Write{Key: wire.OverflowKey(id, number)})
	}
	return writes
}
