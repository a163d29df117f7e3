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
	// maxCommandResponseBytes is how many bytes of the body of a worker's response are read. The
	// body is not used, only the status.
	maxCommandResponseBytes = 64 << 10
)

// CommandClient sends batches of commands directly to workers.
type CommandClient struct {
	http     *http.Client
	inFlight chan struct{} // contains a value for each batch in progress
	post     func(core.Input)
	running  sync.WaitGroup // batches
}

// NewCommandClient returns a client that passes its results to post. It keeps no connections
// open, as a deployment has many workers and rarely sends commands to the same one directly.
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

// Wait waits until the results of all batches have been delivered. No batch may be sent during
// the wait.
func (c *CommandClient) Wait() { c.running.Wait() }

// Send sends a batch in a goroutine of its own and delivers core.CommandsAnswered. The request
// is cancelled when ctx ends. If too many batches are in progress, the batch is not sent and
// the outcome is kv.Refused; the worker then receives the commands with the reply to its next
// heartbeat.
func (c *CommandClient) Send(ctx context.Context, commands core.SendCommands) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		c.running.Go(func() { c.post(core.CommandsAnswered{ID: commands.ID, Outcome: kv.Refused}) })
		return
	}
	c.running.Go(func() {
		outcome := c.sendBatch(ctx, commands)
		<-c.inFlight
		c.post(core.CommandsAnswered{ID: commands.ID, Outcome: outcome})
	})
}

// sendBatch sends a batch and returns the outcome, which is kv.Unknown if the worker may have
// executed the commands.
func (c *CommandClient) sendBatch(ctx context.Context, commands core.SendCommands) kv.Outcome {
	response, err := msgpackhttp.Do(ctx, c.http, msgpackhttp.Request{
		Method: http.MethodPost, URL: "http://" + commands.Address + "/orders", Body: commands.Batch,
		NoReplay: true, MaxResponseBytes: maxCommandResponseBytes,
	})
	switch response.Status { // set even if reading the body failed
	case http.StatusOK:
		return kv.OK
	case http.StatusConflict, http.StatusBadRequest:
		return kv.Conflict
	}
	var networkError *net.OpError
	switch {
	case errors.Is(err, msgpackhttp.ErrNotSent):
		return kv.Refused
	case errors.As(err, &networkError) && networkError.Op == "dial":
		return kv.Refused // net/http does not send the request after a failed dial
	}
	return kv.Unknown
}
