package core

import (
	"testing"
	"time"

	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// newTestNode returns a controller that has loaded an empty replica with its own format record
// and has one machine type on offer. By default it is the only member.
func newTestNode(members ...ownership.Member) *Node {
	return newTestNodeWith(func(*Config) {}, members...)
}

// newTestNodeWith is like newTestNode, with a changed configuration.
func newTestNodeWith(change func(*Config), members ...ownership.Member) *Node {
	if members == nil {
		members = []ownership.Member{{Name: "n0", Zone: "a"}}
	}
	cfg := Config{Self: "n0", Incarnation: "x", Zone: "a", Members: members, Zones: []string{"a"}, Teams: []replica.Team{{Name: "t"}},
		HeartbeatInterval: 4 * second, WorkerLease: 30 * second, OwnerValidity: 23 * second, LeaderLease: 5 * second, MaxTransactionOps: 12, MaxValueBytes: 8192, MaxBatchWrites: 8,
		WallClockMS: func() int64 { return 1_000_000 }}
	change(&cfg)
	n := New(cfg)
	n.Step(second, RecordsChanged{Reset: true, Revision: 1, Events: []kv.Event{{Key: wire.FormatPrefix + "n0", Revision: 1, Value: &wire.SupportedFormat{Format: wire.Format}}}})
	offerTypes(n, []wire.MachineType{{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}})
	return n
}

// offerTypes makes the cloud list machine types to a controller now.
func offerTypes(n *Node, types []wire.MachineType) {
	n.applyTypeListing(CloudAnswered{Outcome: kv.OK, MachineTypes: types}, n.now)
}

// applyJobRecord applies the record of a job to a controller's replica. If
// changeSpec is not nil, it changes the job's specification first.
func applyJobRecord(n *Node, revision int, id string, state wire.JobState, changeSpec func(*wire.JobSpec), dependencies ...string) {
	spec := &wire.JobSpec{ID: id, Class: "c", Team: "t", Shape: wire.ShapeArray, Priority: "low", TaskCount: 1, Image: "i", ExpectedS: 10, Dependencies: dependencies}
	if changeSpec != nil {
		changeSpec(spec)
	}
	record := &wire.Job{Spec: spec, TaskCount: 1, State: state, AcceptedAtMS: 1_000_000, NextAttempt: 1}
	if state != wire.JobLive {
		record.Spec = nil
	}
	n.Step(n.now+1, RecordsChanged{Revision: uint64(revision), Events: []kv.Event{{Key: wire.JobKey(id), Revision: uint64(revision), Value: record}}})
}

// submissionBody returns the body of a submission.
func submissionBody(t *testing.T, id string, dependencies ...string) []byte {
	t.Helper()
	fields := map[string]any{"ref": id, "job_class": "c", "studio": "t", "shape": "array", "urgency": "low", "frames": 1, "cores": 1.0, "cards": 0.0,
		"memory_gb": 1.0, "toolkit": "i", "size_gb": 1.0, "same_place": false, "spread": false, "loaner": true, "expected_s": 10.0,
		"snapshot_every_s": 0.0, "snapshot_s": 0.0}
	if dependencies != nil {
		fields["waits_on"] = dependencies
	}
	body, err := wire.Encode(fields)
	if err != nil {
		t.Fatalf("encoding a submission: %v", err)
	}
	return body
}

// runRequest runs a request against a state service that holds the given job records, until no
// call is in flight. It returns the reply and the writes of class ClassUser.
func runRequest(n *Node, in Input, stored map[string]*wire.Job) (reply *Reply, wrote []kv.Write) {
	run := requestRun{node: n, stored: stored}
	run.step(in)
	return run.reply, run.wrote
}

// requestRun is the run of a request against a state service that holds the given job records.
type requestRun struct {
	node        *Node
	stored      map[string]*wire.Job
	replicaLags bool // the state service has a revision that the replica has not reached

	reply *Reply     // nil: not answered
	wrote []kv.Write // of class ClassUser
	reads int        // number of records read
	// mostReads is the largest number of records whose reading one input has caused.
	mostReads int
}

// step applies an input and carries out calls until none is in flight.
func (r *requestRun) step(in Input) {
	for inputs := []Input{in}; len(inputs) > 0; inputs = inputs[1:] {
		before := r.reads
		for _, e := range r.node.Step(r.node.now+1, inputs[0]) {
			switch effect := e.(type) {
			case ReadJob:
				inputs = append(inputs, r.read(effect))
			case Commit:
				inputs = append(inputs, r.commit(effect))
			case Reply:
				r.reply = &effect
			}
		}
		r.mostReads = max(r.mostReads, r.reads-before)
	}
}

// waitForReply advances the time by up to two seconds, until the request is answered.
func (r *requestRun) waitForReply() {
	for end := r.node.now + 2*second; r.reply == nil && r.node.now < end; {
		r.node.now += 50 * time.Millisecond
		r.step(Tick{})
	}
}

func (r *requestRun) read(read ReadJob) Input {
	r.reads++
	if record := r.stored[read.JobID]; record != nil {
		return JobRead{ID: read.ID, Outcome: kv.OK, Revision: 7, Job: record}
	}
	return JobRead{ID: read.ID, Outcome: kv.NotFound}
}

func (r *requestRun) commit(commit Commit) Input {
	if commit.Class == ClassUser {
		r.wrote = append(r.wrote, commit.Writes...)
	}
	revision := r.node.replica.Revision()
	if r.replicaLags {
		revision++
	}
	return Committed{ID: commit.ID, Outcome: kv.OK, Revision: revision}
}

// controllerHarness runs a single controller with a state service that carries out all requests
// immediately.
type controllerHarness struct {
	node       *Node
	now        Time
	revision   uint64
	effects    []Effect // effects that are not requests to the state service
	watchHangs bool     // commits return a revision that the replica has not reached
}

// step applies an input, carries out requests to the state service and collects other effects.
func (d *controllerHarness) step(in Input) {
	for _, e := range d.node.Step(d.now, in) {
		switch effect := e.(type) {
		case RenewLease:
			d.step(LeaseAnswered{ID: effect.ID, Outcome: kv.OK, LeaseID: max(effect.LeaseID, 7)})
		case Commit:
			d.commit(effect)
		case Log:
		default:
			d.effects = append(d.effects, e)
		}
	}
}

// commit carries out a transaction and sends its events to the controller, unless the watch
// hangs.
func (d *controllerHarness) commit(commit Commit) {
	if d.watchHangs {
		d.step(Committed{ID: commit.ID, Outcome: kv.OK, Revision: d.revision + 1})
		return
	}
	if len(commit.Writes) > 0 {
		d.revision++
	}
	changes := RecordsChanged{Revision: d.revision}
	for _, write := range commit.Writes {
		changes.Events = append(changes.Events, kv.Event{Key: write.Key, Revision: d.revision, Value: write.Value})
	}
	d.step(Committed{ID: commit.ID, Outcome: kv.OK, Revision: d.revision})
	d.step(changes)
}

// wait advances the time, with a tick every 50 ms.
func (d *controllerHarness) wait(duration Time) {
	for end := d.now + duration; d.now < end; {
		d.now += 50 * time.Millisecond
		d.step(Tick{})
	}
}

// putJob applies a record of the job wk-000001 to the controller's replica.
func (d *controllerHarness) putJob(job *wire.Job) {
	d.revision++
	d.step(RecordsChanged{Revision: d.revision, Events: []kv.Event{{Key: wire.JobKey("wk-000001"), Revision: d.revision, Value: job}}})
}

// sendHeartbeat sends a heartbeat of the machine vm-1 and discards earlier effects.
func (d *controllerHarness) sendHeartbeat(seq, token uint64, tasks ...wire.TaskStatus) {
	d.effects = nil
	d.step(WorkerReported{RequestID: seq, Heartbeat: &wire.WorkerHeartbeat{Machine: "vm-1", Addr: "10.0.0.9:1", MachineType: "g", Zone: "a", Epoch: 1, Sequence: seq, Token: token, Tasks: tasks}})
}

// reply returns the first Reply since the last heartbeat, or nil.
func (d *controllerHarness) reply() *Reply {
	for _, e := range d.effects {
		if reply, ok := e.(Reply); ok {
			return &reply
		}
	}
	return nil
}

// commands returns the commands in the reply to the last heartbeat, which must be sent within
// 4 s.
func (d *controllerHarness) commands(t *testing.T) []wire.Command {
	t.Helper()
	d.wait(4 * second)
	reply := d.reply()
	if reply == nil {
		t.Fatal("the heartbeat was not answered")
	}
	return reply.Body.(wire.HeartbeatReply).Commands
}

// directStarts returns the first commands since the last heartbeat that were sent to the
// worker's own address, or nil.
func (d *controllerHarness) directStarts() *SendCommands {
	for _, e := range d.effects {
		if commands, ok := e.(SendCommands); ok {
			return &commands
		}
	}
	return nil
}
