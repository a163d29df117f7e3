package gang

import "micaport/internal/wire"

// Deadlines of an attempt, in heartbeat intervals of the workers since the replica first showed
// its record. The owners' deadline is the earlier one, so that holds expire even without a leader.
const (
	ownerDeadline  = 3
	leaderDeadline = 4
)

// TransitionInput is the state on which the next action for an attempt depends, besides the attempt
// itself.
type TransitionInput struct {
	Age               Time // since the replica first showed the record
	HeartbeatInterval Time // of the workers
	// HasUnplacedTasks is set when the job's record has tasks of the attempt without a machine.
	HasUnplacedTasks bool
	// JobLive is set when the job is neither done nor cancelled.
	JobLive bool
	// MayActAsOwner is set when this controller may act as the owner of one of the shards.
	MayActAsOwner bool
}

// Action is the next action of the leader or of an owner on an attempt.
type Action int

// Actions on an attempt.
const (
	Wait    Action = iota
	Confirm        // leader: write the record as confirmed
	Drop           // leader, owner: write the record as dropped
	Remove         // leader: revoke tasks without a machine, then remove the record
	Finish         // leader: remove the record, as all tasks are placed
	Release        // owner: release the held capacity
)

// transition is a row of a transition table: the action to take in a state if the guard holds. The
// first matching row applies.
type transition struct {
	state  wire.GangState
	guard  func(*Attempt, TransitionInput) bool
	action Action
}

func always(*Attempt, TransitionInput) bool { return true }

// leaderTransitions is the leader's transition table. Each write is conditional on the revision of
// the record, so of a concurrent confirmation and drop one fails.
var leaderTransitions = []transition{
	{wire.GangTrying, func(a *Attempt, input TransitionInput) bool {
		return a.allAgreed() && input.HasUnplacedTasks && input.JobLive
	}, Confirm},
	{wire.GangTrying, func(a *Attempt, _ TransitionInput) bool { return a.Denied }, Drop},
	{wire.GangTrying, func(_ *Attempt, input TransitionInput) bool { return !input.HasUnplacedTasks }, Drop},
	{wire.GangTrying, func(_ *Attempt, input TransitionInput) bool {
		return input.Age > leaderDeadline*input.HeartbeatInterval
	}, Drop},
	{wire.GangDropped, always, Remove},
	{wire.GangConfirmed, func(_ *Attempt, input TransitionInput) bool { return !input.HasUnplacedTasks }, Finish},
}

// ownerTransitions is an owner's transition table. Holding capacity for an attempt that is being
// tried and placing the tasks of a confirmed one are not in the table, as they depend on free
// capacity.
var ownerTransitions = []transition{
	{wire.GangTrying, func(_ *Attempt, input TransitionInput) bool {
		return input.Age > ownerDeadline*input.HeartbeatInterval && input.MayActAsOwner
	}, Drop},
	{wire.GangDropped, always, Release},
}

// LeaderAction returns the leader's next action on an attempt.
func (a *Attempt) LeaderAction(input TransitionInput) Action {
	return a.firstAction(leaderTransitions, input)
}

// OwnerAction returns an owner's next action on an attempt.
func (a *Attempt) OwnerAction(input TransitionInput) Action {
	return a.firstAction(ownerTransitions, input)
}

// firstAction returns the action of the first row that applies, or Wait if none does.
func (a *Attempt) firstAction(table []transition, input TransitionInput) Action {
	for _, row := range table {
		if row.state == a.Record.State && row.guard(a, input) {
			return row.action
		}
	}
	return Wait
}

// WithState returns a copy of an attempt's record with another state.
func (a *Attempt) WithState(state wire.GangState) *wire.Gang {
	record := *a.Record
	record.State = state
	return &record
}
