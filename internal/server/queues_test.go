package server

import (
	"testing"

	"micaport/internal/core"
)

// newTestController returns a controller without a core and adapters, with queues of the
// given size.
func newTestController(queueSize int) *Controller {
	return &Controller{
		inputs:       make(chan core.Input, queueSize),
		userRequests: make(chan pendingRequest, queueSize), workerRequests: make(chan pendingRequest, queueSize),
		replyChannels: map[uint64]chan core.Reply{},
	}
}

// Inputs from the state service are handled before queued requests of workers and users, and
// neither workers nor users starve the other.
func TestOrderOfInputs(t *testing.T) {
	c := newTestController(200)
	for i := range 200 {
		c.workerRequests <- pendingRequest{requestID: uint64(i), input: core.WorkerReported{}}
		c.userRequests <- pendingRequest{requestID: uint64(1000 + i), input: core.UserRequest{}}
	}
	c.inputs <- core.LeaseAnswered{ID: 1}
	c.inputs <- core.RecordsChanged{Revision: 2}
	if input, ok := c.nextInput(t.Context(), nil).(core.LeaseAnswered); !ok {
		t.Errorf("the first input is %T, want the answer to the lease renewal", input)
	}
	if input, ok := c.nextInput(t.Context(), nil).(core.RecordsChanged); !ok {
		t.Errorf("the second input is %T, want the changes of records", input)
	}
	heartbeats := 0
	for range 200 {
		if _, ok := c.nextInput(t.Context(), nil).(core.WorkerReported); ok {
			heartbeats++
		}
	}
	if heartbeats < 50 || heartbeats > 150 {
		t.Errorf("%d of 200 requests were heartbeats, want 50 to 150", heartbeats)
	}
}

// A request is refused at once when its queue is full.
func TestFullQueueRefuses(t *testing.T) {
	c := newTestController(1)
	c.userRequests <- pendingRequest{}
	if _, ok := c.dispatcher(c.userRequests)(func(uint64) core.Input { return nil }); ok {
		t.Error("a request got a reply from a full queue")
	}
}

// After the controller has stopped neither inputs nor requests block.
func TestStoppedControllerDoesNotBlock(t *testing.T) {
	c := newTestController(1)
	stopped := make(chan struct{})
	c.stopped = stopped
	close(stopped)
	for range 10 {
		c.post(core.Tick{})
	}
	if _, ok := c.dispatcher(c.userRequests)(func(uint64) core.Input { return nil }); ok {
		t.Error("a request got a reply from a controller that has stopped")
	}
}
