// Package cloud speaks to the cloud that rents machines.
package cloud

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// Client is the adapter. Post delivers results to the core.
type Client struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
	post  func(core.Input)

	pressing atomic.Int32 // hires and returns on their way or waiting
	right    atomic.Pointer[right]
}

// New makes a client that keeps below the cloud's request rate.
func New(addr string, rps float64, post func(core.Input)) *Client {
	return &Client{
		base: "http://" + addr,
		http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 3, MaxConnsPerHost: 3, DisableCompression: true,
		}},
		limit: rate.NewLimiter(rate.Limit(rps*0.85), max(1, int(rps))),
		post:  post,
	}
}

// right is until when calls of a term may be begun.
type right struct {
	term  uint64
	until time.Time
}

// Allow lets hires and returns of a term be begun until a time, those that wait for their
// turn included, and those of no other term.
func (c *Client) Allow(term uint64, until time.Time) { c.right.Store(&right{term, until}) }

// deadline is until when a hire or return may be begun.
func (c *Client) deadline(q core.Cloud, decided time.Time) time.Time {
	if q.Term == 0 {
		return decided.Add(q.Within)
	}
	if r := c.right.Load(); r != nil && r.term == q.Term {
		return r.until
	}
	return time.Time{}
}

// connectDeadline is the key of a context's value: when a call may no longer be begun.
type connectDeadline struct{}

// dial connects to the cloud, and not later than the call that needs the connection may
// be begun: what waits for a connection must not be sent by a leader that has been
// replaced meanwhile.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	if deadline, bounded := ctx.Value(connectDeadline{}).(time.Time); bounded {
		dialer.Deadline = deadline
	}
	return dialer.DialContext(ctx, network, address)
}

// Call runs one call of the core.
func (c *Client) Call(q core.Cloud) {
	decided := time.Now()
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		r := core.Clouded{ID: q.ID, Outcome: core.Refused}
		if q.Hire != nil || q.Return != nil {
			c.pressing.Add(1)
			defer c.pressing.Add(-1)
		} else {
			c.giveWay(ctx)
		}
		waited := c.limit.Wait(ctx)
		deadline := c.deadline(q, decided)
		begun := context.WithValue(ctx, connectDeadline{}, deadline)
		if late := (q.Hire != nil || q.Return != nil) && time.Now().After(deadline); waited == nil && !late {
			switch {
			case q.Flavors:
				var f wire.Flavors
				r.Outcome = c.send(ctx, http.MethodGet, "/flavors", nil, &f)
				r.Flavors = f.Rigs
			case q.List:
				r.Machines, r.Outcome = c.list(ctx)
			case q.Hire != nil:
				var h wire.Hosts
				r.Outcome = c.send(begun, http.MethodPost, "/hosts", q.Hire, &h)
				r.Hosts = h.Hosts
			case q.Return != nil:
				r.Outcome = c.send(begun, http.MethodPost, "/hosts/return", wire.Hosts{Hosts: q.Return}, nil)
			}
		}
		c.post(r)
	}()
}

// giveWay lets hires and returns go before a list, for a while: a list only
// tells of machines that nobody knows.
func (c *Client) giveWay(ctx context.Context) {
	for i := 0; i < 20 && c.pressing.Load() > 0 && ctx.Err() == nil; i++ {
		time.Sleep(200 * time.Millisecond)
	}
}

func (c *Client) list(ctx context.Context) ([]wire.Machine, core.Outcome) {
	var all []wire.Machine
	from := ""
	for {
		q := url.Values{"limit": {"500"}}
		if from != "" {
			q.Set("from", from)
		}
		var l wire.MachineList
		if out := c.send(ctx, http.MethodGet, "/hosts?"+q.Encode(), nil, &l); out != core.OK {
			return nil, out
		}
		all = append(all, l.Hosts...)
		if !l.More || len(l.Hosts) == 0 {
			return all, core.OK
		}
		from = l.Hosts[len(l.Hosts)-1].Name
		c.giveWay(ctx)
		if c.limit.Wait(ctx) != nil {
			return nil, core.Refused
		}
	}
}

func (c *Client) send(ctx context.Context, method, path string, body, into any) core.Outcome {
	var rd io.Reader
	if body != nil {
		b, err := wire.Encode(body)
		if err != nil {
			return core.Refused
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return core.Refused
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return core.Unknown
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return core.Unknown
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if into != nil {
			if err := wire.Decode(b, into); err != nil {
				return core.Unknown
			}
		}
		return core.OK
	case http.StatusServiceUnavailable:
		var e wire.Error
		if wire.Decode(b, &e) == nil && e.Error == "no capacity" {
			return core.Full
		}
		return core.Refused
	case http.StatusTooManyRequests, http.StatusBadRequest:
		return core.Refused
	}
	return core.Unknown
}

// String names the client in logs.
func (c *Client) String() string { return fmt.Sprintf("cloud at %s", c.base) }
