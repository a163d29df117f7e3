package worker

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/wire"
)

// Client sends orders to workers' own addresses. Post delivers what became of
// them to the core.
type Client struct {
	http     *http.Client
	inFlight chan struct{}
	post     func(core.Input)
}

// NewClient makes a client. Connections are not kept: a machine is told
// something now and then, and there are many of them.
func NewClient(post func(core.Input)) *Client {
	return &Client{
		http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: 700 * time.Millisecond}).DialContext,
			DisableKeepAlives: true, DisableCompression: true,
		}},
		inFlight: make(chan struct{}, config.CommandSockets),
		post:     post,
	}
}

// Send runs one call of the core. When too many are under way it is not sent:
// the next answer to the machine's report will do.
func (c *Client) Send(q core.SendCommands) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		go c.post(core.CommandsAnswered{ID: q.ID, Outcome: core.Refused})
		return
	}
	go func() {
		out := c.send(q)
		<-c.inFlight
		c.post(core.CommandsAnswered{ID: q.ID, Outcome: out})
	}()
}

func (c *Client) send(q core.SendCommands) core.Outcome {
	b, err := wire.Encode(q.Batch)
	if err != nil {
		return core.Refused
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+q.Address+"/orders", bytes.NewReader(b))
	if err != nil {
		return core.Refused
	}
	req.GetBody = nil // not to be repeated behind our back
	resp, err := c.http.Do(req)
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return core.Refused // a connection that was given up does not complete later
	case err != nil:
		return core.Unknown
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	switch resp.StatusCode {
	case http.StatusOK:
		return core.OK
	case http.StatusConflict, http.StatusBadRequest:
		return core.Conflict
	}
	return core.Unknown
}
