package worker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/msgpackhttp"
)

const (
	commandDialTimeout = 700 * time.Millisecond
	commandTimeout     = 3 * time.Second
	// maxCommandResponse bounds what is read of a worker's response, in bytes. Only its
	// status matters.
	maxCommandResponse = 64 << 10
)

// CommandClient sends batches of commands to workers' own addresses.
type CommandClient struct {
	http     *http.Client
	inFlight chan struct{} // a slot for each batch on its way
	post     func(core.Input)
	running  sync.WaitGroup // batches
}

// NewCommandClient returns a client. It keeps no connections open, as there are many workers
// and each of them is rarely sent commands. Post delivers results to the core.
func NewCommandClient(post func(core.Input)) *CommandClient {
	return &CommandClient{
		http: &http.Client{Timeout: commandTimeout, Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: commandDialTimeout}).DialContext,
			DisableKeepAlives: true, DisableCompression: true,
		}},
		inFlight: make(chan struct{}, config.CommandSockets),
		post:     post,
	}
}

// Wait returns when all batches have been answered or given up. No batch may be sent
// meanwhile.
func (c *CommandClient) Wait() { c.running.Wait() }

// Send sends a batch in a goroutine of its own, until ctx ends, and delivers
// core.CommandsAnswered. With too many batches on their way it is not sent, and the outcome
// is Refused: the worker gets the commands with the reply to its next heartbeat.
func (c *CommandClient) Send(ctx context.Context, commands core.SendCommands) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		c.running.Go(func() { c.post(core.CommandsAnswered{ID: commands.ID, Outcome: kv.Refused}) })
		return
	}
	c.running.Go(func() {
		outcome := c.exchange(ctx, commands)
		<-c.inFlight
		c.post(core.CommandsAnswered{ID: commands.ID, Outcome: outcome})
	})
}

// exchange sends a batch and returns what is certain about its effect.
func (c *CommandClient) exchange(ctx context.Context, commands core.SendCommands) kv.Outcome {
	response, err := msgpackhttp.Do(ctx, c.http, msgpackhttp.Request{
		Method: http.MethodPost, URL: "http://" + commands.Address + "/orders", Body: commands.Batch,
		NoReplay: true, MaxResponseBytes: maxCommandResponse,
	})
	switch response.Status { // known even if the body of the response broke off
	case http.StatusOK:
		return kv.OK
	case http.StatusConflict, http.StatusBadRequest:
		return kv.Conflict
	}
	var network *net.OpError
	switch {
	case errors.Is(err, msgpackhttp.ErrNotSent):
		return kv.Refused
	case errors.As(err, &network) && network.Op == "dial":
		return kv.Refused // a connection that was given up does not complete later
	}
	return kv.Unknown
}
