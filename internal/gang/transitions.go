package gang

import "micaport/internal/wire"

// Deadlines of an attempt, in heartbeat intervals of the workers from when the replica
// first showed its record. The owners' comes first: a hold cancels itself also where the
// leader is gone.
const (
	ownerDeadline  = 3
	leaderDeadline = 4
)

// Situation is what a transition of an attempt depends on.
type Situation struct {
	Age               Time // since the replica first showed the record
	HeartbeatInterval Time // of the workers
	// Unplaced says that the job's record still has tasks of the attempt without a machine.
	Unplaced bool
	// JobLive says that the job is neither done nor cancelled.
	JobLive bool
	// Owner says that this controller may act as the owner of one of the shards.
	Owner bool
}

// Action is what is to be done about an attempt.
type Action int

// Actions.
const (
	Wait    Action = iota
	Confirm        // leader: write the record as confirmed
	Drop           // leader, owner: write the record as dropped
	Remove         // leader: revoke tasks without a machine, then remove the record
	Finish         // leader: all tasks are placed, remove the record
	Release        // owner: release what is held
)

// transition is a row of a table: in a state, when a guard holds, an action is taken. The
// first row that fits counts.
type transition struct {
	state  wire.GangState
	when   func(*Attempt, Situation) bool
	action Action
}

func always(*Attempt, Situation) bool { return true }

// leaderTransitions are those of the leader. Each write is conditional on the revision of
// the record, so that of a confirmation and a drop at the same time one fails.
var leaderTransitions = []transition{
	{wire.GangTrying, func(a *Attempt, s Situation) bool { return a.allAgreed() && s.Unplaced && s.JobLive }, Confirm},
	{wire.GangTrying, func(a *Attempt, _ Situation) bool { return a.Denied }, Drop},
	{wire.GangTrying, func(_ *Attempt, s Situation) bool { return !s.Unplaced }, Drop},
	{wire.GangTrying, func(_ *Attempt, s Situation) bool { return s.Age > leaderDeadline*s.HeartbeatInterval }, Drop},
	{wire.GangDropped, always, Remove},
	{wire.GangConfirmed, func(_ *Attempt, s Situation) bool { return !s.Unplaced }, Finish},
}

// ownerTransitions are those of an owner, besides holding capacity for an attempt that is
// being tried and placing the tasks of a confirmed one, which wait for room.
var ownerTransitions = []transition{
	{wire.GangTrying, func(_ *Attempt, s Situation) bool {
		return s.Age > ownerDeadline*s.HeartbeatInterval && s.Owner
	}, Drop},
	{wire.GangDropped, always, Release},
}

// LeaderAction is what the leader is to do about an attempt.
func (a *Attempt) LeaderAction(s Situation) Action { return a.next(leaderTransitions, s) }

// OwnerAction is what an owner is to do about an attempt.
func (a *Attempt) OwnerAction(s Situation) Action { return a.next(ownerTransitions, s) }

func (a *Attempt) next(table []transition, s Situation) Action {
	for _, row := range table {
		if row.state == a.Record.State && row.when(a, s) {
			return row.action
		}
	}
	return Wait
}

// WithState is the record of an attempt in another state.
func (a *Attempt) WithState(state wire.GangState) *wire.Gang {
	record := *a.Record
	record.State = state
	return &record
}
