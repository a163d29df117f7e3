package core

import (
	"slices"
	"testing"
	"time"

	"micaport/internal/replica"
	"micaport/internal/wire"
)

// drive is a controller alone with a state service that carries everything
// out at once.
type drive struct {
	n   *Node
	now Time
	rev uint64
	out []Effect // effects that are not for the state service
	lag bool     // the watch hangs: checks name a revision that the replica has not reached
}

func (d *drive) step(in Input) {
	for _, e := range d.n.Step(d.now, in) {
		switch x := e.(type) {
		case RenewLease:
			d.step(LeaseAnswered{ID: x.ID, Outcome: OK, LeaseID: max(x.LeaseID, 7)})
		case Commit:
			ch := RecordsChanged{}
			if d.lag {
				d.step(Committed{ID: x.ID, Outcome: OK, Revision: d.rev + 1})
				continue
			}
			if len(x.Writes) > 0 {
				d.rev++
			}
			for _, w := range x.Writes {
				ch.Events = append(ch.Events, Event{Key: w.Key, Revision: d.rev, Value: w.Value})
			}
			ch.Revision = d.rev
			d.step(Committed{ID: x.ID, Outcome: OK, Revision: d.rev})
			d.step(ch)
		case Log:
		default:
			d.out = append(d.out, e)
		}
	}
}

func (d *drive) wait(t Time) {
	for end := d.now + t; d.now < end; {
		d.now += 50 * time.Millisecond
		d.step(Tick{})
	}
}

func (d *drive) put(job *wire.Job) {
	d.rev++
	d.step(RecordsChanged{Revision: d.rev, Events: []Event{{Key: wire.JobKey("wk-000001"), Revision: d.rev, Value: job}}})
}

func (d *drive) direct() *SendCommands {
	for _, e := range d.out {
		if x, ok := e.(SendCommands); ok {
			return &x
		}
	}
	return nil
}

// placedDirectly is a controller with one machine that has shown its term and on which
// a task of a job has just been placed, and the start that it sends.
func placedDirectly(t *testing.T) (*drive, *wire.Job, *SendCommands) {
	t.Helper()
	d := &drive{rev: 1, n: New(Config{Self: "n0", Incarnation: "x", Zone: "a", Members: []Member{{Name: "n0", Zone: "a"}}, Zones: []string{"a"},
		Teams: []Team{{Name: "t"}}, HeartbeatInterval: 8 * second, WorkerLease: 34 * second, OwnerValidity: 28 * second, LeaderLease: 5 * second,
		MaxTransactionOps: 12, MaxValueBytes: 8192, MaxBatchWrites: 8, WallClockMS: func() int64 { return 0 }})}
	d.step(RecordsChanged{Reset: true, Revision: 1})
	d.wait(2 * second)
	term := d.n.shards[0].Term
	d.report(1, 0)
	d.report(2, term)
	d.wait(4 * second) // its answer no longer waits
	job := &wire.Job{TaskCount: 1, NextAttempt: 2, Spec: &wire.JobSpec{ID: "wk-000001", Team: "t", Shape: wire.ShapeDaemon, Priority: "standard", TaskCount: 1, Image: "i"},
		ActiveTasks: []wire.ActiveTask{{Attempt: 1, Machine: "vm-1", Epoch: 1}}}
	d.put(job)
	o := d.direct()
	if o == nil || o.Address != "10.0.0.9:1" || o.Batch.Token != term || o.Batch.Epoch != 1 || len(o.Batch.Commands) != 1 {
		t.Fatalf("the start that goes to the machine's address is %+v", o)
	}
	return d, job, o
}

func (d *drive) report(seq, token uint64, tasks ...wire.TaskStatus) {
	d.out = nil
	d.step(WorkerReported{RequestID: seq, Heartbeat: &wire.WorkerHeartbeat{Machine: "vm-1", Addr: "10.0.0.9:1", MachineType: "g", Zone: "a", Epoch: 1, Sequence: seq, Token: token, Tasks: tasks}})
}

func (d *drive) orders(t *testing.T) []wire.Command {
	t.Helper()
	d.wait(4 * second)
	for _, e := range d.out {
		if r, ok := e.(Reply); ok {
			return r.Body.(wire.HeartbeatReply).Commands
		}
	}
	t.Fatal("the report was not answered")
	return nil
}

// A start that may still be on its way keeps its task's place in the record,
// though the job is cancelled and newer reports lack the task.
func TestDirectStartMayStillArrive(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		gone    bool
	}{{Unknown, false}, {OK, false}, {Refused, true}, {Conflict, true}} {
		d, job, o := placedDirectly(t)
		d.step(CommandsAnswered{ID: o.ID, Outcome: c.outcome})
		gone := replica.CloneRecord(job)
		gone.State = wire.JobCancelled
		d.put(gone)
		d.report(9, o.Batch.Token)
		d.wait(3 * second)
		if got := len(d.n.jobs[0].Record.ActiveTasks) == 0; got != c.gone {
			t.Errorf("outcome %d: counted as gone: %v", c.outcome, got)
		}
	}
}

// A start that may still be obeyed must not be once its job has been cancelled for
// cancel_s. The machine is answered no more, so that its epoch ends before. A
// worker that has said that it obeyed knows the attempt and goes on.
func TestDirectStartComesTooLate(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		status  int
	}{{Unknown, 503}, {OK, 200}, {Refused, 200}} {
		d, job, o := placedDirectly(t)
		d.step(CommandsAnswered{ID: o.ID, Outcome: c.outcome})
		gone := replica.CloneRecord(job)
		gone.State = wire.JobCancelled
		d.put(gone)
		for seq := uint64(9); seq < 13; seq++ {
			d.report(seq, o.Batch.Token)
			d.wait(4 * second)
		}
		d.report(13, o.Batch.Token)
		d.wait(4 * second)
		if at := slices.IndexFunc(d.out, func(e Effect) bool { _, is := e.(Reply); return is }); at < 0 || d.out[at].(Reply).Status != c.status {
			t.Errorf("outcome %d: answered with %+v", c.outcome, d.out)
		}
	}
}

// A watch that hangs for part of a validity shows the cancellation late. The silence
// counts from before it was recorded, else the machine's epoch would outlast
// cancel_s by as much.
func TestDirectStartOfAJobWithdrawnUnseen(t *testing.T) {
	d, job, o := placedDirectly(t)
	d.step(CommandsAnswered{ID: o.ID, Outcome: Unknown})
	d.lag = true
	d.wait(11 * second)
	d.lag = false
	gone := replica.CloneRecord(job)
	gone.State = wire.JobCancelled
	d.put(gone)
	d.wait(4 * second)
	d.report(9, o.Batch.Token)
	d.wait(4 * second)
	if at := slices.IndexFunc(d.out, func(e Effect) bool { _, is := e.(Reply); return is }); at < 0 || d.out[at].(Reply).Status != 503 {
		t.Errorf("answered with %+v", d.out)
	}
}

// An attempt that was started so is not cleared: the worker would obey a late
// copy of the start.
func TestDirectStartIsNotCleared(t *testing.T) {
	d, _, o := placedDirectly(t)
	d.step(CommandsAnswered{ID: o.ID, Outcome: OK})
	ended := wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.CauseError}
	d.report(9, o.Batch.Token, ended)
	d.wait(second)
	if len(d.n.jobs[0].Record.ActiveTasks) != 0 {
		t.Fatal("the end was not written")
	}
	d.report(10, o.Batch.Token, ended)
	for _, x := range d.orders(t) {
		if x.Op == wire.CommandClear {
			t.Errorf("told to %+v", x)
		}
	}
}

// A machine that was silent for so long that it was forgotten may report again
// in the same term, after a cut or a hang in which the cloud did not answer
// either. It once ended the controller, as a start was noted in what had been
// let go.
func TestForgottenMachineReportsAgain(t *testing.T) {
	d, job, o := placedDirectly(t)
	d.step(CommandsAnswered{ID: o.ID, Outcome: Conflict})
	record := replica.CloneRecord(job)
	record.ActiveTasks = nil
	d.put(record)
	d.wait(4 * d.n.cfg.WorkerLease)
	if len(d.n.shards[0].machines) != 0 {
		t.Fatal("the machine was not forgotten")
	}
	term := o.Batch.Token
	d.report(50, term)
	d.report(51, term)
	again := replica.CloneRecord(job)
	again.ActiveTasks = []wire.ActiveTask{{Attempt: 2, Machine: "vm-1", Epoch: 1}}
	d.put(again)
	d.report(52, term)
	started := d.direct() != nil
	for _, x := range d.orders(t) {
		started = started || x.Op == wire.CommandStart && x.Attempt == 2
	}
	if !started {
		t.Error("nothing was started on it")
	}
}
