package gang

import "micaport/internal/wire"

// Deadlines of an attempt, in heartbeat intervals of the workers since the replica first showed
// its record. The owners' deadline is the earlier one, so that holds expire even without a leader.
const (
	ownerDeadline  = 3
	leaderDeadline = 4
)

// TransitionInput is the state that decides about the transition of an attempt, besides the attempt
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
	{wire.GangTrying, func(a *Attempt, s TransitionInput) bool { return a.allAgreed() && s.HasUnplacedTasks && s.JobLive }, Confirm},
	{wire.GangTrying, func(a *Attempt, _ TransitionInput) bool { return a.Denied }, Drop},
	{wire.GangTrying, func(_ *Attempt, s TransitionInput) bool { return !s.HasUnplacedTasks }, Drop},
	{wire.GangTrying, func(_ *Attempt, s TransitionInput) bool { return s.Age > leaderDeadline*s.HeartbeatInterval }, Drop},
	{wire.GangDropped, always, Remove},
	{wire.GangConfirmed, func(_ *Attempt, s TransitionInput) bool { return !s.HasUnplacedTasks }, Finish},
}

// ownerTransitions is an owner's transition table. It lacks the holding of capacity for an attempt
// that is being tried and the placing of a confirmed one's tasks, which depend on free capacity.
var ownerTransitions = []transition{
	{wire.GangTrying, func(_ *Attempt, s TransitionInput) bool {
		return s.Age > ownerDeadline*s.HeartbeatInterval && s.MayActAsOwner
	}, Drop},
	{wire.GangDropped, always, Release},
}

// LeaderAction returns the leader's next action on an attempt.
func (a *Attempt) LeaderAction(s TransitionInput) Action { return a.next(leaderTransitions, s) }

// OwnerAction returns an owner's next action on an attempt.
func (a *Attempt) OwnerAction(s TransitionInput) Action { return a.next(ownerTransitions, s) }

func (a *Attempt) next(table []transition, s TransitionInput) Action {
	for _, row := range table {
		if row.state == a.Record.State && row.guard(a, s) {
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
