package core

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/wire"
)

var (
	typeG = wire.MachineType{Name: "g", Cores: 8, GPUs: 1, MemoryGB: 64, FetchGBs: 1, PricePerHour: 1, BootS: 10, Zones: []string{"a"}}
	typeN = wire.MachineType{Name: "new", Cores: 16, GPUs: 2, MemoryGB: 64, FetchGBs: 1, PricePerHour: 2, BootS: 10, Zones: []string{"a"}}
)

// submissionFor returns the body of a submission that allows machine types and needs some cores.
func submissionFor(t *testing.T, id string, cores float64, machineTypes ...string) []byte {
	t.Helper()
	var fields map[string]any
	if err := wire.Decode(submissionBody(t, id), &fields); err != nil {
		t.Fatal(err)
	}
	fields["cores"], fields["rigs"] = cores, machineTypes
	body, err := wire.Encode(fields)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// typesRun is the run of a controller beside a cloud that lists machine types when it is asked.
type typesRun struct {
	node    *Node
	types   []wire.MachineType
	outcome kv.Outcome // of the calls to the cloud
	silent  bool       // the cloud does not answer
	calls   int        // to the cloud
	replies []Reply
	wrote   []kv.Write
	logs    []string
}

// step applies an input and carries out calls until none is in flight.
func (r *typesRun) step(in Input) {
	for inputs := []Input{in}; len(inputs) > 0; inputs = inputs[1:] {
		for _, e := range r.node.Step(r.node.now+1, inputs[0]) {
			switch effect := e.(type) {
			case CallCloud:
				if r.calls++; !r.silent {
					inputs = append(inputs, CloudAnswered{ID: effect.ID, Outcome: r.outcome, MachineTypes: r.types})
				}
			case ReadJob:
				inputs = append(inputs, JobRead{ID: effect.ID, Outcome: kv.NotFound})
			case Commit:
				if effect.Class == ClassUser {
					r.wrote = append(r.wrote, effect.Writes...)
				}
				inputs = append(inputs, Committed{ID: effect.ID, Outcome: kv.OK, Revision: r.node.replica.Revision()})
			case Reply:
				r.replies = append(r.replies, effect)
			case Log:
				r.logs = append(r.logs, effect.Text)
			}
		}
	}
}

// wait advances the time, with a tick every 50 ms.
func (r *typesRun) wait(duration Time) {
	for end := r.node.now + duration; r.node.now < end; {
		r.node.now += 50 * time.Millisecond
		r.step(Tick{})
	}
}

// status returns the status of the only reply, or 0 if there is none.
func (r *typesRun) status() int {
	if len(r.replies) != 1 {
		return 0
	}
	return r.replies[0].Status
}

// newFollowerRun returns the run of a controller that knows the type g and does not lead.
func newFollowerRun() *typesRun {
	members := []ownership.Member{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "a"}, {Name: "n2", Zone: "a"}}
	n := newTestNodeWith(func(cfg *Config) { cfg.CloudRPS = 2 }, members...)
	return &typesRun{node: n, types: []wire.MachineType{typeG}}
}

// Guards against 422 for a job that can run: a list of machine types that is old, or taken for whole
// though it is not, does not show that a type is not on offer. Only a listing of the cloud that was
// asked for after the submission came does.
func TestJobIsRejectedOnlyOnAFreshListing(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*typesRun)
		cores   float64
		allowed string
		want    int
	}{
		"a type that is offered since":  {func(r *typesRun) { r.types = []wire.MachineType{typeG, typeN} }, 1, "new", http.StatusCreated},
		"a type that grew since":        {func(r *typesRun) { r.types[0].Cores = 32 }, 30, "g", http.StatusCreated},
		"a type that is not offered":    {func(*typesRun) {}, 1, "new", http.StatusUnprocessableEntity},
		"a task that is too large":      {func(*typesRun) {}, 30, "g", http.StatusUnprocessableEntity},
		"the cloud refuses the call":    {func(r *typesRun) { r.outcome = kv.Refused }, 1, "new", http.StatusServiceUnavailable},
		"the cloud can't be reached":    {func(r *typesRun) { r.outcome = kv.Unknown }, 1, "new", http.StatusServiceUnavailable},
		"the cloud does not answer":     {func(r *typesRun) { r.silent = true }, 1, "new", http.StatusServiceUnavailable},
		"the cloud lists no types":      {func(r *typesRun) { r.types = nil }, 1, "new", http.StatusServiceUnavailable},
		"a type that is known to offer": {func(r *typesRun) { r.silent = true }, 1, "g", http.StatusCreated},
	} {
		t.Run(name, func(t *testing.T) {
			run := newFollowerRun()
			run.types = slices.Clone(run.types)
			test.prepare(run)
			run.step(UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submissionFor(t, "wk-000001", test.cores, test.allowed)})
			run.wait(submitTimeout + second)
			if got := run.status(); got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
			if logged := slices.Contains(run.logs, "submission rejected"); logged != (test.want == http.StatusUnprocessableEntity) {
				t.Errorf("rejection logged = %v for status %d", logged, run.status())
			}
		})
	}
}

// Guards against a decision by a listing that was under way when the submission came: the cloud may
// have made it before the type was offered.
func TestListingUnderWayDoesNotReject(t *testing.T) {
	run := newFollowerRun()
	run.silent = true
	run.step(UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submissionFor(t, "wk-000001", 1, "new")})
	var call uint64
	for id, next := range run.node.continuations {
		if _, isListing := next.(confirmTypesCall); isListing {
			call = id
		}
	}
	run.wait(second)
	run.step(UserRequest{RequestID: 2, Kind: wire.RequestSubmit, Body: submissionFor(t, "wk-000002", 1, "new")})
	run.silent, run.types = false, []wire.MachineType{typeG, typeN}
	run.step(CloudAnswered{ID: call, Outcome: kv.OK, MachineTypes: []wire.MachineType{typeG}})
	run.wait(second)
	if len(run.replies) != 2 || run.replies[0].Status != http.StatusUnprocessableEntity || run.replies[1].Status != http.StatusCreated {
		t.Errorf("got %+v, want 422 for the first submission and 201 for the second", run.replies)
	}
}

// Guards against jobs that lose allowed machine types because the controller that accepts them does
// not know these: a name is removed only once the cloud does not list it.
func TestUnknownAllowedTypesAreKept(t *testing.T) {
	run := newFollowerRun()
	run.silent = true
	run.step(UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submissionFor(t, "wk-000001", 1, "g", "new")})
	if run.status() != http.StatusCreated || len(run.wrote) != 1 {
		t.Fatalf("got replies %+v and %d writes", run.replies, len(run.wrote))
	}
	if got := run.wrote[0].Value.(*wire.Job).Spec.MachineTypes; !slices.Equal(got, []string{"g", "new"}) {
		t.Errorf("the record allows %v", got)
	}
}

// A submission with more names than a record can hold is accepted without those that are no types.
func TestManyUnknownAllowedTypesAreRemoved(t *testing.T) {
	run := newFollowerRun()
	names := []string{"g"}
	for i := range 900 {
		names = append(names, "no-such-type-"+string(rune('a'+i%26)))
	}
	run.step(UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submissionFor(t, "wk-000001", 1, names...)})
	run.wait(second)
	if run.status() != http.StatusCreated || len(run.wrote) != 1 {
		t.Fatalf("got replies %+v and %d writes", run.replies, len(run.wrote))
	}
	if got := run.wrote[0].Value.(*wire.Job).Spec.MachineTypes; !slices.Equal(got, []string{"g"}) {
		t.Errorf("the record allows %v", got)
	}
}

// Guards against 422 for a job that can run because it allows more machine types than its record can
// name: the cheapest that its tasks fit are kept.
func TestJobThatAllowsManyTypesIsAccepted(t *testing.T) {
	run := newFollowerRun()
	run.types = nil
	var names []string
	for i := range 900 {
		machineType := typeN
		machineType.Name, machineType.PricePerHour = fmt.Sprintf("machine-type-%03d", i), float64(1000-i)
		if i >= 890 {
			machineType.Cores = 0.5 // no task fits
		}
		run.types, names = append(run.types, machineType), append(names, machineType.Name)
	}
	run.step(UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submissionFor(t, "wk-000001", 1, names...)})
	run.wait(second)
	if run.status() != http.StatusCreated || len(run.wrote) != 1 {
		t.Fatalf("got replies %+v and %d writes", run.replies, len(run.wrote))
	}
	if size, err := wire.JSONSize(run.wrote[0].Value); err != nil || size > run.node.cfg.MaxValueBytes {
		t.Errorf("the record has %d bytes, error %v", size, err)
	}
	kept := run.wrote[0].Value.(*wire.Job).Spec.MachineTypes
	if len(kept) < 100 || !slices.Contains(kept, "machine-type-889") || slices.Contains(kept, "machine-type-895") || slices.Contains(kept, "machine-type-000") {
		t.Errorf("%d types are kept: %v", len(kept), kept)
	}
	if !slices.Contains(run.logs, "allowed machine types shortened") {
		t.Error("the log does not say that allowed types were left out")
	}
}

// Guards against users whose jobs can never run taking the rate of calls that the cloud allows from
// the leader.
func TestConfirmationsKeepToTheirShare(t *testing.T) {
	run := newFollowerRun()
	const duration = 120 * second
	for i := range int(duration / second) {
		run.step(UserRequest{RequestID: uint64(i + 1), Kind: wire.RequestSubmit, Body: submissionFor(t, "wk-000001", 1, "new")})
		run.wait(second)
	}
	// A controller that doesn't lead makes no other calls to the cloud.
	if most := confirmationBurst + int(duration/run.node.confirmationInterval()); run.calls == 0 || run.calls > most {
		t.Errorf("%d calls in %v, want 1 to %d", run.calls, duration, most)
	}
	answered := 0
	for _, reply := range run.replies {
		if reply.Status == http.StatusUnprocessableEntity {
			answered++
		}
	}
	if answered == 0 {
		t.Error("no submission was rejected")
	}
}

// Guards against controllers that keep the first list of machine types that they get, so that they
// reject jobs for types that are offered later.
func TestStoredTypesAreFollowed(t *testing.T) {
	n := newTestNode(ownership.Member{Name: "n0", Zone: "a"}, ownership.Member{Name: "n1", Zone: "a"})
	n.Step(n.now+1, RecordsChanged{Revision: 20, Events: []kv.Event{
		{Key: wire.MachineTypePartKey("7-1", 1), Revision: 20, Value: &wire.MachineTypePart{Offered: []wire.MachineType{typeN}, Withdrawn: []wire.MachineType{typeG}}},
		{Key: wire.MachineTypeHeadKey, Revision: 20, Value: &wire.MachineTypeHead{Generation: "7-1", Parts: 1}},
	}})
	if !n.machineTypes.IsOffered("new") || n.machineTypes.IsOffered("g") {
		t.Error("the stored list was not taken over")
	}
	if n.typeAt(n.names.MachineTypes.Find("g")) == nil {
		t.Error("a type that is no longer offered is not known any more, though machines of it may run")
	}
}

// Guards against machines that are paid for without use for ever: one of a type that nobody knows
// gets no work, so it never counted as idle.
func TestIdleMachineOfUnknownTypeIsDrained(t *testing.T) {
	n := newTestNodeWith(func(cfg *Config) { cfg.IdleTimeout = 40 * second })
	scaler := newAutoscaler()
	for name, machineType := range map[string]string{"vm-known": "g", "vm-unknown": "lost", "vm-busy": "lost"} {
		machine := n.getOrAddMachine(name)
		machine.machineType, machine.view.reportedByOwner = n.names.MachineTypes.Intern(machineType), true
		if name == "vm-busy" {
			machine.placements = []placement{{}}
		}
		n.setShard(machine, 0)
	}
	for range 42 {
		n.now += second
		scaler.drainUnknownTypes(&n.site)
	}
	if len(scaler.markedForDraining) != 1 || !scaler.markedForDraining["vm-unknown"] {
		t.Errorf("marked for draining: %v, want vm-unknown", scaler.markedForDraining)
	}
}

// The log says why an owner places nothing on a machine whose type it does not know, and the owner
// asks the cloud for the types.
func TestMachineOfUnknownTypeIsLoggedAndAskedFor(t *testing.T) {
	run := newFollowerRun()
	run.types = []wire.MachineType{typeG, typeN}
	run.wait(typesInterval + second)
	run.logs = nil
	for sequence := range 5 {
		run.step(WorkerReported{RequestID: uint64(sequence + 1), Heartbeat: &wire.WorkerHeartbeat{Machine: "vm-1", MachineType: "new", Zone: "a", Epoch: 1, Sequence: uint64(sequence + 1)}})
		run.wait(second)
	}
	logged := 0
	for _, text := range run.logs {
		if text == "machine of an unknown type, placing nothing on it" {
			logged++
		}
	}
	if logged != 1 {
		t.Errorf("logged %d times, want once a minute", logged)
	}
	if !run.node.machineTypes.IsOffered("new") {
		t.Error("the cloud was not asked for its machine types")
	}
}

// A controller without a whole list asks the cloud itself after a while, as the leader may be of a
// version that stores only a part.
func TestPartialListIsCompletedByTheCloud(t *testing.T) {
	members := []ownership.Member{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "a"}}
	cfg := newTestNodeWith(func(cfg *Config) { cfg.CloudRPS = 2 }, members...).cfg
	run := &typesRun{node: New(cfg), types: []wire.MachineType{typeG, typeN}}
	run.step(RecordsChanged{Reset: true, Revision: 1, Events: []kv.Event{{Key: wire.MachineTypesKey, Revision: 1, Value: &wire.MachineTypeCache{Types: []wire.MachineType{typeG}}}}})
	run.wait(missingTypesDelay - second)
	if run.node.machineTypes.Complete() || !run.node.machineTypes.IsOffered("g") || run.calls != 0 {
		t.Errorf("complete %v with the record of an earlier version, %d calls to the cloud", run.node.machineTypes.Complete(), run.calls)
	}
	run.wait(3 * second)
	if !run.node.machineTypes.Complete() || !run.node.machineTypes.IsOffered("new") || run.calls != 1 {
		t.Errorf("complete %v, %d calls to the cloud", run.node.machineTypes.Complete(), run.calls)
	}
}
