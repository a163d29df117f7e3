package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// transaction is the body of POST /commit.
type transaction struct {
	Conditions []condition `msgpack:"if"`
	Writes     []write     `msgpack:"writes,omitempty"`
}

// condition requires a key to have a revision; revision 0 requires it to be absent.
type condition struct {
	Key      string `msgpack:"k"`
	Revision uint64 `msgpack:"key_rev"`
}

// write sets the key Put or deletes the key Drop; the other field is empty.
type write struct {
	Put   string `msgpack:"put,omitempty"`
	Value any    `msgpack:"v,omitempty"`
	Lease uint64 `msgpack:"permit,omitempty"`
	Drop  string `msgpack:"drop,omitempty"`
}

// response has the fields of the responses to all requests except listings and watches.
type response struct {
	Revision    uint64             `msgpack:"ledger_rev"`
	Value       msgpack.RawMessage `msgpack:"v"`
	KeyRevision uint64             `msgpack:"key_rev"`
	Lease       uint64             `msgpack:"permit"`
	Failed      []string           `msgpack:"failed"`
	Error       string             `msgpack:"error"`

	rateLimited bool // at least one attempt got status 429
}

// leaseExpiredText is the service's error for a write with a lease that has expired. The only
// other reason for status 400 to a transaction of the core is that it is too large.
const leaseExpiredText = "no such lease"

const (
	// backgroundTimeout is how long a background transaction waits for the rate limiter.
	backgroundTimeout = 3 * time.Second
	// maxRateLimitRetries is how often a request is retried after status 429. Before retry n
	// it waits for rateLimitBackoff plus a random time below n times rateLimitJitterMS.
	maxRateLimitRetries = 4
	rateLimitBackoff    = 100 * time.Millisecond
	rateLimitJitterMS   = 150
	// minUnknownTime is the least time from the start of a request until its outcome is reported as
	// unknown. The core then repeats many requests at once, and a refused connection takes no time.
	minUnknownTime = 100 * time.Millisecond
)

// Commit sends a conditional transaction and delivers core.Committed.
func (c *Client) Commit(ctx context.Context, request core.Commit) {
	c.running.Go(func() {
		if request.Class == core.ClassBackground && !c.waitForBackgroundRate(ctx) {
			c.post(core.Committed{ID: request.ID, Outcome: kv.Refused})
			return
		}
		var answer response
		outcome := c.call(ctx, request.Class, http.MethodPost, "/commit", newTransaction(request.Conditions, request.Writes), &answer)
		c.post(core.Committed{
			ID:          request.ID,
			Outcome:     outcome,
			Revision:    answer.Revision,
			FailedKeys:  answer.Failed,
			RateLimited: answer.rateLimited,
		})
	})
}

// waitForBackgroundRate waits for the rate limiter of background requests, and reports whether it
// allowed a request within backgroundTimeout.
func (c *Client) waitForBackgroundRate(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	return c.background.Wait(ctx) == nil
}

// newTransaction returns the request body for a transaction of the core. A write without a
// value is a deletion.
func newTransaction(conditions []kv.Condition, writes []kv.Write) transaction {
	body := transaction{Conditions: []condition{}} // not nil, as the field is required
	for _, required := range conditions {
		body.Conditions = append(body.Conditions, condition{required.Key, required.Revision})
	}
	for _, w := range writes {
		if w.Value == nil {
			body.Writes = append(body.Writes, write{Drop: w.Key})
		} else {
			body.Writes = append(body.Writes, write{Put: w.Key, Value: w.Value, Lease: w.LeaseID})
		}
	}
	return body
}

// ReadJob reads the record of a job and delivers core.JobRead.
func (c *Client) ReadJob(ctx context.Context, request core.ReadJob) {
	c.running.Go(func() {
		var answer response
		outcome := c.call(ctx, core.ClassUser, http.MethodGet, "/store/"+wire.JobKey(request.JobID), nil, &answer)
		result := core.JobRead{ID: request.ID, Outcome: outcome, Revision: answer.KeyRevision}
		if outcome == kv.OK {
			record, err := wire.DecodeRecord(wire.JobKey(request.JobID), answer.Value)
			if err != nil {
				result.Outcome = kv.Unknown
			}
			result.Job, _ = record.(*wire.Job)
		}
		c.post(result)
	})
}

// RenewLease creates a lease, or extends the one that the request names, and delivers
// core.LeaseAnswered.
func (c *Client) RenewLease(ctx context.Context, request core.RenewLease) {
	c.running.Go(func() {
		path, body := fmt.Sprintf("/grants/%d/extend", request.LeaseID), any(nil)
		create := request.LeaseID == 0
		if create {
			path, body = "/grants", map[string]int64{"life_ms": request.TTL.Milliseconds()}
		}
		var answer response
		outcome := c.call(ctx, core.ClassLease, http.MethodPost, path, body, &answer)
		if outcome == kv.OK && create && answer.Lease == 0 {
			outcome = kv.Unknown
		}
		c.post(core.LeaseAnswered{ID: request.ID, Outcome: outcome, LeaseID: answer.Lease})
	})
}

// call sends a request and retries it after status 429. It returns the outcome, which is
// kv.Unknown if the service may have processed the request. Except for leases, which can't wait, an
// unknown outcome is returned after minUnknownTime at the earliest.
func (c *Client) call(ctx context.Context, class core.RequestClass, method, path string, body any, answer *response) kv.Outcome {
	startedAt := time.Now()
	outcome := c.callInSlot(ctx, class, method, path, body, answer)
	if outcome == kv.Unknown && class != core.ClassLease {
		_ = sleep(ctx, minUnknownTime-time.Since(startedAt)) // its error only says that the wait was shorter
	}
	return outcome
}

// callInSlot is call without the least time of an unknown outcome. It occupies a slot while it runs.
func (c *Client) callInSlot(ctx context.Context, class core.RequestClass, method, path string, body any, answer *response) kv.Outcome {
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
	case <-time.After(slotTimeout):
		if class != core.ClassLease { // lease renewals are sent even without a slot
			return kv.Refused
		}
	case <-ctx.Done():
		return kv.Refused
	}
	for attempt := 0; ; attempt++ {
		status, err := c.exchange(ctx, c.http, method, path, body, answer)
		if err != nil {
			return kv.Unknown
		}
		if status != http.StatusTooManyRequests {
			return outcomeOf(status, answer)
		}
		answer.rateLimited = true
		// Background requests are not retried: the core decides again what to write.
		if attempt == maxRateLimitRetries || class == core.ClassBackground {
			return kv.Refused
		}
		jitter := time.Duration(rand.IntN(rateLimitJitterMS)*(attempt+1)) * time.Millisecond
		if sleep(ctx, rateLimitBackoff+jitter) != nil {
			return kv.Refused
		}
	}
}

// outcomeOf returns the outcome of a request for a response with a status other than 429.
func outcomeOf(status int, answer *response) kv.Outcome {
	switch status {
	case http.StatusOK:
		return kv.OK
	case http.StatusConflict:
		return kv.Conflict
	case http.StatusNotFound:
		return kv.NotFound
	case http.StatusBadRequest:
		if answer.Error == leaseExpiredText {
			return kv.LeaseExpired
		}
		return kv.TooLarge
	case http.StatusServiceUnavailable:
		return kv.Refused
	}
	return kv.Unknown
}
