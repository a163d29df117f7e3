package server

import (
	"context"
	"time"

	"micaport/internal/api"
	"micaport/internal/core"
)

const (
	// inputQueueSize is how many inputs may wait in Controller.inputs before those who
	// deliver them wait. Each of them has a goroutine of its own, so that no input is lost.
	inputQueueSize = 1024
	// replyTimeout is how long a request waits for the core's reply.
	replyTimeout = 6 * time.Second
	// tickInterval is how often the core's timers are checked when there are no inputs.
	tickInterval = 50 * time.Millisecond
)

// pendingInput is an input with the channel for its reply, of capacity one.
type pendingInput struct {
	requestID uint64
	input     core.Input
	reply     chan core.Reply
}

// post delivers an input to the core. After the controller has stopped it does nothing.
func (c *Controller) post(input core.Input) {
	select {
	case c.inputs <- input:
	case <-c.stopped:
	}
}

// dispatcher returns an api.Dispatch for a queue. Requests are refused when the queue is full.
func (c *Controller) dispatcher(queue chan<- pendingInput) api.Dispatch {
	return func(newInput func(requestID uint64) core.Input) (core.Reply, bool) {
		pending := pendingInput{requestID: c.nextRequest.Add(1), reply: make(chan core.Reply, 1)}
		pending.input = newInput(pending.requestID)
		select {
		case queue <- pending:
		default:
			return core.Reply{}, false
		}
		select {
		case reply := <-pending.reply:
			return reply, true
		case <-time.After(replyTimeout):
			return core.Reply{}, false
		case <-c.stopped:
			return core.Reply{}, false
		}
	}
}

// run owns the core until ctx ends.
func (c *Controller) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		input := c.next(ctx, ticker.C)
		if input == nil {
			return
		}
		for _, effect := range c.core.Step(time.Since(c.startedAt), input) {
			c.perform(ctx, effect)
		}
		if !c.ready.Load() {
			c.ready.Store(c.core.Ready())
		}
	}
}

// next waits for an input, and returns nil when ctx ends. Controller.inputs has priority, so
// that many requests at once can't delay lease renewals and the watch. Of the other sources
// that have an input one is chosen at random.
func (c *Controller) next(ctx context.Context, tick <-chan time.Time) core.Input {
	select {
	case input := <-c.inputs:
		return input
	default:
	}
	var pending pendingInput
	select {
	case <-ctx.Done():
		return nil
	case <-tick:
		return core.Tick{}
	case input := <-c.inputs:
		return input
	case pending = <-c.userInputs:
	case pending = <-c.workerInputs:
	}
	c.replies[pending.requestID] = pending.reply
	return pending.input
}
