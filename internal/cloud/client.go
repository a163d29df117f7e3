// Package cloud is the adapter to the cloud from which machines are provisioned, spoken to in
// MessagePack over HTTP: GET /flavors (machine types), POST /hosts (provision), POST
// /hosts/return (deprovision) and GET /hosts (list of machines). It keeps within the cloud's
// request rate, and begins provisioning and deprovisioning calls only for as long as the
// leader that decided them may make them.
package cloud

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/msgpackhttp"
	"micaport/internal/wire"
)

const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 5 * time.Second
	// callTimeout bounds a call with its waits, and with all pages of a list.
	callTimeout = 20 * time.Second
	// rateShare is the share of the cloud's request rate that is used.
	rateShare = 0.85
	// A list waits while urgent calls are waiting, at most maxYields times yieldInterval.
	yieldInterval = 200 * time.Millisecond
	maxYields     = 20

	listPageSize     = "500"
	maxResponseBytes = 16 << 20
)

// noCapacityText is the error of a machine type and zone without capacity; status 503 with
// another error is a failure of the cloud.
const noCapacityText = "no capacity"

// Client makes the calls of one controller. Every call runs in a goroutine of its own, which
// delivers the result to the core and ends early when its context does.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
	post    func(core.Input)
	running sync.WaitGroup // calls

	urgentCalls atomic.Int32 // provisioning and deprovisioning calls, waiting ones included
	permission  atomic.Pointer[permission]
}

// permission is the time until which calls of a term may be begun.
type permission struct {
	term  uint64
	until time.Time
}

// New returns a client of the cloud at an address (host:port) that keeps below its requests a
// second. Post delivers results to the core.
func New(address string, rps float64, post func(core.Input)) *Client {
	return &Client{
		baseURL: "http://" + address,
		http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: config.CloudSockets, MaxConnsPerHost: config.CloudSockets,
			DisableCompression: true,
		}},
		limiter: rate.NewLimiter(rate.Limit(rps*rateShare), max(1, int(rps))),
		post:    post,
	}
}

// Wait returns when all calls have ended. No call may begin meanwhile.
func (c *Client) Wait() { c.running.Wait() }

// AllowCalls allows provisioning and deprovisioning calls of a term to be begun until a time,
// including those that are waiting for their turn, and forbids those of all other terms.
func (c *Client) AllowCalls(term uint64, until time.Time) {
	c.permission.Store(&permission{term, until})
}

// deadline is the time until which a provisioning or deprovisioning call may be begun.
func (c *Client) deadline(call core.CallCloud, decided time.Time) time.Time {
	if call.Term == 0 {
		return decided.Add(call.ValidFor)
	}
	if allowed := c.permission.Load(); allowed != nil && allowed.term == call.Term {
		return allowed.until
	}
	return time.Time{}
}

// dialDeadline is the context key of the time until which a call may be begun.
type dialDeadline struct{}

// dial connects to the cloud, at the latest when the call that needs the connection may no
// longer be begun: a call that waits for a connection must not be sent by a leader that has
// been replaced meanwhile.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if deadline, bounded := ctx.Value(dialDeadline{}).(time.Time); bounded {
		dialer.Deadline = deadline
	}
	return dialer.DialContext(ctx, network, address)
}

// Call makes a call and delivers core.CloudAnswered. Its outcome is Refused if the call was
// not begun in time.
func (c *Client) Call(ctx context.Context, call core.CallCloud) {
	decided := time.Now()
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		urgent := call.Provision != nil || call.Deprovision != nil
		if urgent {
			c.urgentCalls.Add(1)
			defer c.urgentCalls.Add(-1)
		} else {
			c.yieldToUrgent(ctx)
		}
		if c.limiter.Wait(ctx) != nil {
			c.post(core.CloudAnswered{ID: call.ID, Outcome: kv.Refused})
			return
		}
		if urgent {
			deadline := c.deadline(call, decided)
			if time.Now().After(deadline) {
				c.post(core.CloudAnswered{ID: call.ID, Outcome: kv.Refused})
				return
			}
			ctx = context.WithValue(ctx, dialDeadline{}, deadline)
		}
		c.post(c.perform(ctx, call))
	})
}

// perform makes a call now.
func (c *Client) perform(ctx context.Context, call core.CallCloud) core.CloudAnswered {
	result := core.CloudAnswered{ID: call.ID, Outcome: kv.Refused}
	switch {
	case call.ListTypes:
		var list wire.MachineTypeList
		result.Outcome = c.exchange(ctx, http.MethodGet, "/flavors", nil, &list)
		result.MachineTypes = list.MachineTypes
	case call.ListMachines:
		result.Machines, result.Outcome = c.listMachines(ctx)
	case call.Provision != nil:
		var machines wire.MachineNames
		result.Outcome = c.exchange(ctx, http.MethodPost, "/hosts", call.Provision, &machines)
		result.Names = machines.Names
	case call.Deprovision != nil:
		result.Outcome = c.exchange(ctx, http.MethodPost, "/hosts/return", wire.MachineNames{Names: call.Deprovision}, nil)
	}
	return result
}

// yieldToUrgent lets provisioning and deprovisioning calls go first, for a while: a list only
// reveals machines that no controller knows.
func (c *Client) yieldToUrgent(ctx context.Context) {
	for i := 0; i < maxYields && c.urgentCalls.Load() > 0; i++ {
		select {
		case <-time.After(yieldInterval):
		case <-ctx.Done():
			return
		}
	}
}

// listMachines fetches all pages of the list of machines, each within the rate limit.
func (c *Client) listMachines(ctx context.Context) ([]wire.CloudMachine, kv.Outcome) {
	var machines []wire.CloudMachine
	query := url.Values{"limit": {listPageSize}}
	for {
		var page wire.MachineList
		if outcome := c.exchange(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &page); outcome != kv.OK {
			return nil, outcome
		}
		machines = append(machines, page.Machines...)
		if !page.HasNext || len(page.Machines) == 0 {
			return machines, kv.OK
		}
		query.Set("from", page.Machines[len(page.Machines)-1].Name)
		c.yieldToUrgent(ctx)
		if c.limiter.Wait(ctx) != nil {
			return nil, kv.Refused
		}
	}
}

// exchange sends a request, decodes the response into target unless that is nil, and returns
// what is certain about the request's effect.
func (c *Client) exchange(ctx context.Context, method, path string, body, target any) kv.Outcome {
	response, err := msgpackhttp.Do(ctx, c.http, msgpackhttp.Request{
		Method: method, URL: c.baseURL + path, Body: body, MaxResponseBytes: maxResponseBytes,
	})
	switch {
	case errors.Is(err, msgpackhttp.ErrNotSent):
		return kv.Refused
	case err != nil:
		return kv.Unknown
	}
	switch response.Status {
	case http.StatusOK:
		if target != nil && response.Decode(target) != nil {
			return kv.Unknown
		}
		return kv.OK
	case http.StatusServiceUnavailable:
		var refusal wire.Error
		if response.Decode(&refusal) == nil && refusal.Error == noCapacityText {
			return kv.NoCapacity
		}
		return kv.Refused
	case http.StatusTooManyRequests, http.StatusBadRequest:
		return kv.Refused
	}
	return kv.Unknown
}
