package server

import (
	"context"
	"time"

	"micaport/internal/api"
	"micaport/internal/core"
)

const (
	// inputQueueSize is the capacity of Controller.inputs. When it is full, senders block.
	// Each sender has a goroutine of its own, so no input is lost.
	inputQueueSize = 1024
	// replyTimeout is how long a request waits for the core's reply.
	replyTimeout = 6 * time.Second
	// tickInterval is how often the core's timers are checked when there are no inputs.
	tickInterval = 50 * time.Millisecond
)

// pendingRequest is an input that needs a reply, with the channel for the reply. The channel
// has a capacity of one.
type pendingRequest struct {
	requestID uint64
	input     core.Input
	reply     chan core.Reply
}

// post queues an input for the core. After the controller has stopped it does nothing.
func (c *Controller) post(input core.Input) {
	select {
	case c.inputs <- input:
	case <-c.stopped:
	}
}

// dispatcher returns an api.Dispatch that adds requests to a queue and waits for their replies. It
// refuses requests when the queue is full.
func (c *Controller) dispatcher(queue chan<- pendingRequest) api.Dispatch {
	return func(newInput func(requestID uint64) core.Input) (core.Reply, bool) {
		pending := pendingRequest{requestID: c.lastRequestID.Add(1), reply: make(chan core.Reply, 1)}
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

// run passes each input to the core and starts the resulting effects, until ctx ends. Only
// this goroutine uses the core.
func (c *Controller) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		input := c.nextInput(ctx, ticker.C)
		if input == nil {
			return
		}
		for _, effect := range c.core.Step(time.Since(c.startedAt), input) {
			c.startEffect(ctx, effect)
		}
		if !c.ready.Load() {
			c.ready.Store(c.core.Ready())
		}
	}
}

// nextInput waits for an input and returns it, or nil when ctx ends. Controller.inputs has
// priority, so that a burst of requests does not delay lease renewals and the watch. One of the
// other sources with an input is chosen at random.
func (c *Controller) nextInput(ctx context.Context, tick <-chan time.Time) core.Input {
	select {
	case input := <-c.inputs:
		return input
	default:
	}
	var pending pendingRequest
	select {
	case <-ctx.Done():
		return nil
	case <-tick:
		return core.Tick{}
	case input := <-c.inputs:
		return input
	case pending = <-c.userRequests:
	case pending = <-c.workerRequests:
	}
	c.replyChannels[pending.requestID] = pending.reply
	return pending.input
}
