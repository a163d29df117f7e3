package server

import (
	"context"
	"testing"

	"micaport/internal/core"
)

// A herd of workers or users does not hold up what the state service says, nor
// does either keep the other from being served.
func TestOrderOfInputs(t *testing.T) {
	n := &Node{inputs: make(chan core.Input, 8), userInputs: make(chan pendingInput, 200), workerInputs: make(chan pendingInput, 200), replies: map[uint64]chan core.Reply{}}
	for i := range 200 {
		n.workerInputs <- pendingInput{req: uint64(i), in: core.WorkerReported{}}
		n.userInputs <- pendingInput{req: uint64(1000 + i), in: core.UserRequest{}}
	}
	n.inputs <- core.LeaseAnswered{ID: 1}
	n.inputs <- core.RecordsChanged{Revision: 2}
	ctx := context.Background()
	if _, ok := n.next(ctx, nil).(core.LeaseAnswered); !ok {
		t.Error("the answer of the state service did not come first")
	}
	if _, ok := n.next(ctx, nil).(core.RecordsChanged); !ok {
		t.Error("the watch did not come before the requests")
	}
	reports := 0
	for range 200 {
		if _, ok := n.next(ctx, nil).(core.WorkerReported); ok {
			reports++
		}
	}
	if reports < 50 || reports > 150 {
		t.Errorf("%d of 200 requests taken were reports", reports)
	}
}

// A request for which there is no place is refused at once.
func TestFullQueueRefuses(t *testing.T) {
	n := &Node{userInputs: make(chan pendingInput, 1)}
	n.userInputs <- pendingInput{}
	if _, ok := n.asker(n.userInputs)(func(uint64) core.Input { return nil }); ok {
		t.Error("a request got a reply from a full queue")
	}
}
