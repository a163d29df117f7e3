// Package cloud is the adapter to the cloud that provides machines, whose API is MessagePack
// over HTTP: GET /flavors (machine types), POST /hosts (provision), POST /hosts/return
// (deprovision) and GET /hosts (list of machines). It keeps within the cloud's rate limit, and
// starts provisioning and deprovisioning calls only while the leader that decided them is
// still allowed to call the cloud.
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
	// callTimeout limits a call, including its waits and all pages of a list.
	callTimeout = 20 * time.Second
	// rateShare is the share of the cloud's rate limit that is used.
	rateShare = 0.85
	// A list call waits while provisioning or deprovisioning calls are pending, but at most
	// maxUrgentWaits times urgentWaitInterval.
	urgentWaitInterval = 200 * time.Millisecond
	maxUrgentWaits     = 20

	listPageSize     = "500"
	maxResponseBytes = 16 << 20
)

// noCapacityText is the cloud's error, with status 503, when a machine type has no capacity in a
// zone. Status 503 with another error is a failure of the cloud.
const noCapacityText = "no capacity"

// Client makes the calls of one controller. Every call runs in a goroutine of its own, which
// delivers the result to the core; a call is cancelled when its context ends.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
	post    func(core.Input)
	running sync.WaitGroup // calls

	urgentCalls atomic.Int32 // provisioning and deprovisioning calls that are waiting or in progress
	permission  atomic.Pointer[callPermission]
}

// callPermission allows the provisioning and deprovisioning calls of a leader's term to be
// started until a time.
type callPermission struct {
	term  uint64
	until time.Time
}

// New returns a client of the cloud at an address (host:port). It keeps below rps, the requests
// a second that the cloud allows, and passes its results to post.
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

// Wait waits until all calls have ended. No call may be started during the wait.
func (c *Client) Wait() { c.running.Wait() }

// AllowCalls allows the provisioning and deprovisioning calls of a term, including calls that
// are waiting already, to be started until a time. It forbids the calls of all other terms.
func (c *Client) AllowCalls(term uint64, until time.Time) {
	c.permission.Store(&callPermission{term, until})
}

// startDeadline returns the time until which a provisioning or deprovisioning call may be started.
// A call without a term may be started until ValidFor after decidedAt. The deadline of a call
// whose term has no permission is the zero time.
func (c *Client) startDeadline(call core.CallCloud, decidedAt time.Time) time.Time {
	if call.Term == 0 {
		return decidedAt.Add(call.ValidFor)
	}
	if allowed := c.permission.Load(); allowed != nil && allowed.term == call.Term {
		return allowed.until
	}
	return time.Time{}
}

// dialDeadlineKey is the context key of the time until which a call may be started.
type dialDeadlineKey struct{}

// dial connects to the cloud. It fails when the call that needs the connection may no longer be
// started: a leader that has been replaced while its call waited for a connection must not send
// the call.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if deadline, bounded := ctx.Value(dialDeadlineKey{}).(time.Time); bounded {
		dialer.Deadline = deadline
	}
	return dialer.DialContext(ctx, network, address)
}

// Call makes a call in a goroutine of its own and delivers core.CloudAnswered. The outcome is
// kv.Refused if the call could not be started in time.
func (c *Client) Call(ctx context.Context, call core.CallCloud) {
	decidedAt := time.Now()
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		urgent := call.Provision != nil || call.Deprovision != nil
		if urgent {
			c.urgentCalls.Add(1)
			defer c.urgentCalls.Add(-1)
		} else {
			c.waitForUrgentCalls(ctx)
		}
		if c.limiter.Wait(ctx) != nil {
			c.post(core.CloudAnswered{ID: call.ID, Outcome: kv.Refused})
			return
		}
		if urgent {
			deadline := c.startDeadline(call, decidedAt)
			if time.Now().After(deadline) {
				c.post(core.CloudAnswered{ID: call.ID, Outcome: kv.Refused})
				return
			}
			ctx = context.WithValue(ctx, dialDeadlineKey{}, deadline)
		}
		c.post(c.sendCall(ctx, call))
	})
}

// sendCall sends the requests of a call and returns the result.
func (c *Client) sendCall(ctx context.Context, call core.CallCloud) core.CloudAnswered {
	result := core.CloudAnswered{ID: call.ID, Outcome: kv.Refused}
	switch {
	case call.ListTypes:
		var list wire.MachineTypeList
		result.Outcome = c.sendRequest(ctx, http.MethodGet, "/flavors", nil, &list)
		result.MachineTypes = list.MachineTypes
	case call.ListMachines:
		result.Machines, result.Outcome = c.listMachines(ctx)
	case call.Provision != nil:
		var machines wire.MachineNames
		result.Outcome = c.sendRequest(ctx, http.MethodPost, "/hosts", call.Provision, &machines)
		result.Names = machines.Names
	case call.Deprovision != nil:
		result.Outcome = c.sendRequest(ctx, http.MethodPost, "/hosts/return", wire.MachineNames{Names: call.Deprovision}, nil)
	}
	return result
}

// waitForUrgentCalls waits while provisioning or deprovisioning calls are pending, for a limited
// time. Lists are less urgent: a list of machines only reveals machines that no controller has
// recorded.
func (c *Client) waitForUrgentCalls(ctx context.Context) {
	for i := 0; i < maxUrgentWaits && c.urgentCalls.Load() > 0; i++ {
		select {
		case <-time.After(urgentWaitInterval):
		case <-ctx.Done():
			return
		}
	}
}

// listMachines returns the machines of all pages of the list. It applies the rate limit to each
// page after the first, to which Call has applied it.
func (c *Client) listMachines(ctx context.Context) ([]wire.CloudMachine, kv.Outcome) {
	var machines []wire.CloudMachine
	query := url.Values{"limit": {listPageSize}}
	for {
		var page wire.MachineList
		if outcome := c.sendRequest(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &page); outcome != kv.OK {
			return nil, outcome
		}
		machines = append(machines, page.Machines...)
		if !page.HasNext || len(page.Machines) == 0 {
			return machines, kv.OK
		}
		query.Set("from", page.Machines[len(page.Machines)-1].Name)
		c.waitForUrgentCalls(ctx)
		if c.limiter.Wait(ctx) != nil {
			return nil, kv.Refused
		}
	}
}

// sendRequest sends a request and decodes the response into target, unless that is nil. It
// returns the outcome, which is kv.Unknown if the cloud may have processed the request.
func (c *Client) sendRequest(ctx context.Context, method, path string, body, target any) kv.Outcome {
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
