package core

import (
	"fmt"
	"slices"

	"micaport/internal/failover"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// The record of the last early takeovers, for operators.

// maxRecordedTakeovers is how many takeovers the record lists, where a value has room for them.
const maxRecordedTakeovers = 8

// putTakeovers applies the record. A takeover that is listed when the process starts may have
// been made a moment ago.
func (n *Node) putTakeovers(record *wire.Takeovers) {
	n.failover.takeovers = record
	if !n.replica.Loaded() {
		n.failover.earlyClaimSeenAt = n.now
	}
}

// withTakeover is the record with one more takeover, and as many of the others as fit a value.
func (f *failoverState) withTakeover(takeover wire.Takeover, fits func(any) bool) *wire.Takeovers {
	record := &wire.Takeovers{}
	if f.takeovers != nil {
		record.List = slices.Clone(f.takeovers.List)
	}
	record.List = append(record.List, takeover)
	for len(record.List) > 1 && (len(record.List) > maxRecordedTakeovers || !fits(record)) {
		record.List = record.List[1:]
	}
	return record
}

// completed is the record with the stages of this controller's takeover, or nil if the last
// takeover is not its own.
func (f *failoverState) completed(self string) *wire.Takeovers {
	if f.takeovers == nil || len(f.takeovers.List) == 0 {
		return nil
	}
	record := &wire.Takeovers{List: slices.Clone(f.takeovers.List)}
	last := &record.List[len(record.List)-1]
	if last.To != self {
		return nil
	}
	last.StagesMS = f.stagesMS()
	return record
}

// stagesMS are the times of the stages of this controller's takeover so far, in
// milliseconds from the last heartbeat of the leader before.
func (f *failoverState) stagesMS() []int64 {
	var stages []int64
	for stage := failover.Suspected; stage <= failover.Decided && f.takeover.Reached(stage); stage++ {
		stages = append(stages, f.takeover.After(stage).Milliseconds())
	}
	return stages
}

// notePlanned notes that this leader has made a scheduling pass. The first completes its
// takeover.
func (n *Node) notePlanned() {
	f := &n.failover
	if f.firstPassDone {
		return
	}
	f.firstPassDone = true
	if !f.takeover.Reach(failover.Decided, n.now) {
		return
	}
	n.log(LogInfo, "failover completed", "previous_leader", f.takeover.From, "stages_ms", fmt.Sprint(f.stagesMS()))
	if record := f.completed(n.cfg.Self); record != nil {
		n.transact(ClassBackground, []kv.Condition{n.leaderCondition()}, []kv.Write{{Key: wire.TakeoversKey, Value: record}}, ignoreResult{})
	}
	f.takeover.End()
}
