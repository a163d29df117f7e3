package core

import (
	"fmt"
	"slices"

	"micaport/internal/failover"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// maxRecordedTakeovers is the maximum number of early takeovers that the record for operators
// lists. It lists fewer if they would exceed the size limit of a value.
const maxRecordedTakeovers = 8

// putTakeovers applies a change of the takeover record. A takeover that is recorded when the process
// starts may have been made immediately before, so it counts as seen now.
func (n *Node) putTakeovers(record *wire.Takeovers) {
	n.failover.takeovers = record
	if !n.replica.Loaded() {
		n.failover.earlyClaimSeenAt = n.now
	}
}

// withTakeover returns the record with one more takeover, without the oldest ones if they exceed
// maxRecordedTakeovers or the size limit of a value.
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

// withStages returns the record with the stages of this controller's takeover, or nil if the last
// recorded takeover is not one of this controller.
func (f *failoverState) withStages(self string) *wire.Takeovers {
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

// stagesMS returns the times of the stages that this controller's takeover has reached, in
// milliseconds since the last heartbeat of the replaced leader.
func (f *failoverState) stagesMS() []int64 {
	var stages []int64
	for stage := failover.Suspected; stage <= failover.Decided && f.takeover.Reached(stage); stage++ {
		stages = append(stages, f.takeover.SinceLastHeartbeat(stage).Milliseconds())
	}
	return stages
}

// recordFirstPass records that this leader has made a scheduling pass. If it took over early, the
// first pass of its term completes the takeover, whose stages are then added to the takeover
// record.
func (n *Node) recordFirstPass() {
	f := &n.failover
	if f.firstPassDone {
		return
	}
	f.firstPassDone = true
	if !f.takeover.Reach(failover.Decided, n.now) {
		return
	}
	n.log(LogInfo, "failover completed", "previous_leader", f.takeover.From, "stages_ms", fmt.Sprint(f.stagesMS()))
	if record := f.withStages(n.cfg.Self); record != nil {
		n.transact(ClassBackground, []kv.Condition{n.leaderCondition()}, []kv.Write{{Key: wire.TakeoversKey, Value: record}}, ignoreResult{})
	}
	f.takeover.End()
}
