package gang

import (
	"testing"
	"time"

	"micaport/internal/wire"
)

const interval = 3 * time.Second

// attemptIn returns an attempt over shards 0 and 2 in a state, with the given shards in agreement.
func attemptIn(state wire.GangState, agreed ...int) *Attempt {
	a := &Attempt{Record: &wire.Gang{Attempt: 4, State: state, Shards: []int{0, 2}}, AgreedShards: map[int]bool{}}
	for _, shard := range agreed {
		a.AgreedShards[shard] = true
	}
	return a
}

func withDenial(a *Attempt) *Attempt {
	a.Denied = true
	return a
}

func TestLeaderActions(t *testing.T) {
	waiting := TransitionInput{HeartbeatInterval: interval, HasUnplacedTasks: true, JobLive: true}
	placed, cancelled, afterDeadline, atDeadline := waiting, waiting, waiting, waiting
	placed.HasUnplacedTasks = false
	cancelled.JobLive = false
	atDeadline.Age = leaderDeadline * interval
	afterDeadline.Age = leaderDeadline*interval + 1
	for _, c := range []struct {
		name    string
		attempt *Attempt
		input   TransitionInput
		want    Action
	}{
		{"no owner has answered", attemptIn(wire.GangTrying), waiting, Wait},
		{"one of two agrees", attemptIn(wire.GangTrying, 0), waiting, Wait},
		{"all agree", attemptIn(wire.GangTrying, 0, 2), waiting, Confirm},
		{"all agree after the deadline", attemptIn(wire.GangTrying, 0, 2), afterDeadline, Confirm},
		{"one denies", withDenial(attemptIn(wire.GangTrying, 0)), waiting, Drop},
		{"all agree, the job is cancelled", attemptIn(wire.GangTrying, 0, 2), cancelled, Wait},
		{"no task is without a machine", attemptIn(wire.GangTrying, 0, 2), placed, Drop},
		{"at the deadline", attemptIn(wire.GangTrying, 0), atDeadline, Wait},
		{"after the deadline", attemptIn(wire.GangTrying, 0), afterDeadline, Drop},
		{"dropped", attemptIn(wire.GangDropped), waiting, Remove},
		{"confirmed, not placed", attemptIn(wire.GangConfirmed), afterDeadline, Wait},
		{"confirmed and placed", attemptIn(wire.GangConfirmed), placed, Finish},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.attempt.LeaderAction(c.input); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// An owner drops an attempt whose deadline has passed, and releases its hold only when the attempt
// has been dropped.
func TestOwnerActions(t *testing.T) {
	for _, c := range []struct {
		name  string
		state wire.GangState
		age   Time
		owner bool
		want  Action
	}{
		{"trying, at the deadline", wire.GangTrying, ownerDeadline * interval, true, Wait},
		{"trying, after the deadline", wire.GangTrying, ownerDeadline*interval + 1, true, Drop},
		{"trying, after the deadline, not an owner any more", wire.GangTrying, ownerDeadline*interval + 1, false, Wait},
		{"confirmed", wire.GangConfirmed, time.Hour, true, Wait},
		{"dropped", wire.GangDropped, 0, false, Release},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := attemptIn(c.state)
			if got := a.OwnerAction(TransitionInput{Age: c.age, HeartbeatInterval: interval, MayActAsOwner: c.owner}); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// A record replaces only older revisions, and answers apply only to attempts that are being tried.
func TestAttempts(t *testing.T) {
	s := NewAttempts()
	key := wire.GangKey("wk-000007", 4)
	s.Put(time.Second, key, &wire.Gang{Attempt: 4, Shards: []int{0}}, 5)
	answer := []wire.GangHold{{Ref: "wk-000007", Attempt: 4, Part: 0, OK: true}}
	if !s.ApplyAnswers(answer) || !s.Find("wk-000007", 4).allAgreed() {
		t.Error("the answer to an attempt that is being tried was not applied")
	}
	s.Put(2*time.Second, key, &wire.Gang{Attempt: 4, State: wire.GangDropped, Shards: []int{0}}, 6)
	s.Put(3*time.Second, key, &wire.Gang{Attempt: 4, Shards: []int{0}}, 5)
	a := s.Find("wk-000007", 4)
	if a.Record.State != wire.GangDropped || a.SeenAt != time.Second || a.JobID != "wk-000007" {
		t.Errorf("got %+v with record %+v, want the dropped record of wk-000007, first shown at 1 s", a, a.Record)
	}
	if s.ApplyAnswers(answer) || s.ApplyAnswers([]wire.GangHold{{Ref: "wk-000008", Attempt: 1, OK: true}}) {
		t.Error("an answer to an attempt that is not being tried was applied")
	}
	s.DeleteUnlisted(map[string]bool{})
	if len(s.Sorted()) != 0 {
		t.Error("an attempt that is not listed was kept")
	}
}
