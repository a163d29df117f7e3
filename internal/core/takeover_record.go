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

// putTakeovers takes in the record of the last takeovers. One that is listed when we
// start may have been made a moment ago.
func (n *Node) putTakeovers(record *wire.Takeovers) {
	n.failover.takeovers = record
	if !n.replica.Loaded() {
		n.failover.earlyClaimSeenAt = n.now
	}
}

// withTakeover is the record of the last takeovers with one more, as many as a value holds.
func (n *Node) withTakeover(t wire.Takeover) *wire.Takeovers {
	record := &wire.Takeovers{}
	if n.failover.takeovers != nil {
		record.List = slices.Clone(n.failover.takeovers.List)
	}
	record.List = append(record.List, t)
	for len(record.List) > 1 && (len(record.List) > maxRecordedTakeovers || !n.valueFits(record)) {
		record.List = record.List[1:]
	}
	return record
}

// stagesMS are the times of the stages of our takeover so far.
func (n *Node) stagesMS() []int64 {
	var stages []int64
	for stage := failover.Suspected; stage <= failover.Decided && n.failover.takeover.Reached(stage); stage++ {
		stages = append(stages, n.failover.takeover.After(stage).Milliseconds())
	}
	return stages
}

// notePlanned notes that a pass over the queues was made.
func (n *Node) notePlanned() {
	s := &n.failover
	if s.firstPassDone {
		return
	}
	s.firstPassDone = true
	if !s.takeover.Reach(failover.Decided, n.now) {
		return
	}
	n.log(LogInfo, "failover completed", "previous_leader", s.takeover.From, "stages_ms", fmt.Sprint(n.stagesMS()))
	n.recordStages()
	s.takeover.End()
}

// recordStages completes the entry of our takeover.
func (n *Node) recordStages() {
	if n.failover.takeovers == nil || len(n.failover.takeovers.List) == 0 {
		return
	}
	record := &wire.Takeovers{List: slices.Clone(n.failover.takeovers.List)}
	last := &record.List[len(record.List)-1]
	if last.To != n.cfg.Self {
		return
	}
	last.StagesMS = n.stagesMS()
	n.transact(ClassBackground, []kv.Condition{n.leaderCondition()}, []kv.Write{{Key: wire.TakeoversKey, Value: record}}, ignoreResult{})
}
