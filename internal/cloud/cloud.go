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

	urgentCalls atomic.Int32 // provisioning and deprovisioning calls on their way or waiting
	permission  atomic.Pointer[callPermission]
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

// callPermission is until when calls of a term may be begun.
type callPermission struct {
	term  uint64
	until time.Time
}

// Allow lets provisioning and deprovisioning calls of a term be begun until a time, those that wait for their
// turn included, and those of no other term.
func (c *Client) Allow(term uint64, until time.Time) {
	c.permission.Store(&callPermission{term, until})
}

// deadline is until when such a call may be begun.
func (c *Client) deadline(q core.CallCloud, decided time.Time) time.Time {
	if q.Term == 0 {
		return decided.Add(q.ValidFor)
	}
	if r := c.permission.Load(); r != nil && r.term == q.Term {
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
func (c *Client) Call(q core.CallCloud) {
	decided := time.Now()
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		r := core.CloudAnswered{ID: q.ID, Outcome: core.Refused}
		if q.Provision != nil || q.Deprovision != nil {
			c.urgentCalls.Add(1)
			defer c.urgentCalls.Add(-1)
		} else {
			c.yieldToUrgent(ctx)
		}
		waited := c.limit.Wait(ctx)
		deadline := c.deadline(q, decided)
		begun := context.WithValue(ctx, connectDeadline{}, deadline)
		if late := (q.Provision != nil || q.Deprovision != nil) && time.Now().After(deadline); waited == nil && !late {
			switch {
			case q.ListTypes:
				var f wire.MachineTypeList
				r.Outcome = c.send(ctx, http.MethodGet, "/flavors", nil, &f)
				r.MachineTypes = f.MachineTypes
			case q.ListMachines:
				r.Machines, r.Outcome = c.list(ctx)
			case q.Provision != nil:
				var h wire.MachineNames
				r.Outcome = c.send(begun, http.MethodPost, "/hosts", q.Provision, &h)
				r.Names = h.Names
			case q.Deprovision != nil:
				r.Outcome = c.send(begun, http.MethodPost, "/hosts/return", wire.MachineNames{Names: q.Deprovision}, nil)
			}
		}
		c.post(r)
	}()
}

// yieldToUrgent lets provisioning and deprovisioning calls go before a list, for a while: a list only
// tells of machines that nobody knows.
func (c *Client) yieldToUrgent(ctx context.Context) {
	for i := 0; i < 20 && c.urgentCalls.Load() > 0 && ctx.Err() == nil; i++ {
		time.Sleep(200 * time.Millisecond)
	}
}

func (c *Client) list(ctx context.Context) ([]wire.CloudMachine, core.Outcome) {
	var all []wire.CloudMachine
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
		all = append(all, l.Machines...)
		if !l.HasNext || len(l.Machines) == 0 {
			return all, core.OK
		}
		from = l.Machines[len(l.Machines)-1].Name
		c.yieldToUrgent(ctx)
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
			return core.NoCapacity
		}
		return core.Refused
	case http.StatusTooManyRequests, http.StatusBadRequest:
		return core.Refused
	}
	return core.Unknown
}

// String names the client in logs.
func (c *Client) String() string { return fmt.Sprintf("cloud at %s", c.base) }
