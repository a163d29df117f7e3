package server

import (
	"context"
	"log/slog"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// startEffect starts an effect of the core and does not wait for its result. Requests in
// progress are cancelled when ctx ends.
func (c *Controller) startEffect(ctx context.Context, effect core.Effect) {
	switch e := effect.(type) {
	case core.Commit:
		c.store.Commit(ctx, e)
	case core.ReadJob:
		c.store.ReadJob(ctx, e)
	case core.RenewLease:
		c.store.RenewLease(ctx, e)
	case core.CallCloud:
		c.cloud.Call(ctx, e)
	case core.AllowCloudCalls:
		c.cloud.AllowCalls(e.Term, c.startedAt.Add(e.Until))
	case core.SendCommands:
		c.workers.Send(ctx, e)
	case core.SendGossip:
		if link := c.links[e.To]; link != nil {
			link.SendGossip(e.Message)
		}
	case core.SendHeartbeat:
		if link := c.links[e.To]; link != nil {
			link.SendHeartbeat(e.Message)
		}
	case core.SendDecisionLog:
		if link := c.links[e.To]; link != nil {
			link.SendDecisionLog(e.Message, func(ack wire.DecisionLogAck) { c.post(core.DecisionLogAcknowledged{Ack: ack}) })
		}
	case core.Forward:
		c.forward(e)
	case core.Reply:
		c.reply(e)
	case core.Log:
		c.log.Log(ctx, logLevels[e.Level], e.Text, e.Args...)
	}
}

// logLevels maps the core's log levels to those of slog.
var logLevels = map[core.LogLevel]slog.Level{
	core.LogDebug: slog.LevelDebug,
	core.LogInfo:  slog.LevelInfo,
	core.LogError: slog.LevelError,
}

// forward forwards a user's request to a peer. The answer is posted in a new goroutine: the
// callback may be called by the goroutine that empties the queue of inputs, which would block
// forever in post if the queue were full.
func (c *Controller) forward(request core.Forward) {
	postAnswer := func(answer wire.UserAnswer) {
		go c.post(core.ForwardAnswered{RequestID: request.RequestID, Answer: answer})
	}
	link := c.links[request.To]
	if link == nil {
		postAnswer(wire.UserAnswer{}) // status 0 means no answer
		return
	}
	link.Forward(request.Call, postAnswer)
}

// reply delivers a reply to the request that waits for it. It does not block: the channel has
// a capacity of one, and each request gets one reply.
func (c *Controller) reply(reply core.Reply) {
	if waiting := c.replyChannels[reply.RequestID]; waiting != nil {
		delete(c.replyChannels, reply.RequestID)
		waiting <- reply
	}
}
