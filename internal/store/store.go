// Package store speaks to the state service: transactions, leases, reads, and
// the watch that keeps the core's copy of the records up to date.
package store

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// Client is the adapter. Post delivers results to the core.
type Client struct {
	base          string
	http          *http.Client
	watch         *http.Client
	background    *rate.Limiter // requests that may wait
	inFlight      chan struct{}
	watchInterval time.Duration // between two watches
	post          func(core.Input)
}

// New makes a client that stays within its share of the service's limits.
func New(addr string, members int, rps float64, post func(core.Input)) *Client {
	transport := func(conns int) *http.Transport {
		return &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns,
			IdleConnTimeout: 60 * time.Second, DisableCompression: true,
		}
	}
	return &Client{
		base:  "http://" + addr,
		http:  &http.Client{Transport: transport(8), Timeout: 1500 * time.Millisecond},
		watch: &http.Client{Transport: transport(2), Timeout: 4500 * time.Millisecond},
		// The core keeps to its share of the puts; this keeps any one
		// controller from using up the requests.
		background: rate.NewLimiter(rate.Limit(rps*min(1, 2/float64(members))), max(1, int(rps/4))),
		inFlight:   make(chan struct{}, 24),
		// Changes come in bursts; a short pause gathers them. All watches
		// together take at most a third of the service's requests.
		watchInterval: max(40*time.Millisecond, time.Duration(float64(3*members)/rps*float64(time.Second))),
		post:          post,
	}
}

type condition struct {
	Key      string `msgpack:"k"`
	Revision uint64 `msgpack:"key_rev"`
}

type commitBody struct {
	If     []condition `msgpack:"if"`
	Writes []write     `msgpack:"writes,omitempty"`
}

// write puts or drops a key.
type write struct {
	Put   string `msgpack:"put,omitempty"`
	Value any    `msgpack:"v,omitempty"`
	Lease uint64 `msgpack:"permit,omitempty"`
	Drop  string `msgpack:"drop,omitempty"`
}

type response struct {
	Revision    uint64             `msgpack:"ledger_rev"`
	Value       msgpack.RawMessage `msgpack:"v"`
	KeyRevision uint64             `msgpack:"key_rev"`
	Lease       uint64             `msgpack:"permit"`
	Failed      []string           `msgpack:"failed"`
	Error       string             `msgpack:"error"`

	rateLimited bool // 429 was seen
}

// leaseExpiredText is what the service says of a put under a lease that has ended. Any other
// fault that it finds in a transaction of ours is that it is too large.
const leaseExpiredText = "no such lease"

// Commit runs a transaction.
func (c *Client) Commit(q core.Commit) {
	go func() {
		if q.Class == core.ClassBackground {
			ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
			defer stop()
			if c.background.Wait(ctx) != nil {
				c.post(core.Committed{ID: q.ID, Outcome: core.Refused})
				return
			}
		}
		var a response
		out := c.call(q.Class, http.MethodPost, "/commit", commitRequest(q.Conditions, q.Writes), &a)
		c.post(core.Committed{ID: q.ID, Outcome: out, Revision: a.Revision, Failed: a.Failed, Limited: a.rateLimited})
	}()
}

// commitRequest is the body of a transaction.
func commitRequest(conds []core.Condition, writes []core.Write) commitBody {
	body := commitBody{If: []condition{}}
	for _, x := range conds {
		body.If = append(body.If, condition{x.Key, x.Revision})
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

// Read fetches the record of a job.
func (c *Client) Read(q core.ReadJob) {
	go func() {
		var a response
		out := c.call(core.ClassUser, http.MethodGet, "/store/"+wire.JobKey(q.JobID), nil, &a)
		r := core.JobRead{ID: q.ID, Outcome: out, Revision: a.KeyRevision}
		if out == core.OK {
			r.Job = new(wire.Job)
			if err := wire.Decode(a.Value, r.Job); err != nil {
				r.Outcome = core.Unknown
			}
		}
		c.post(r)
	}()
}

// Lease creates or extends a lease.
func (c *Client) Lease(q core.RenewLease) {
	go func() {
		var a response
		var out core.Outcome
		if q.LeaseID == 0 {
			out = c.call(core.ClassLease, http.MethodPost, "/grants", map[string]int64{"life_ms": q.TTL.Milliseconds()}, &a)
		} else {
			out = c.call(core.ClassLease, http.MethodPost, fmt.Sprintf("/grants/%d/extend", q.LeaseID), nil, &a)
		}
		if out == core.OK && q.LeaseID == 0 && a.Lease == 0 {
			out = core.Unknown
		}
		c.post(core.LeaseAnswered{ID: q.ID, Outcome: out, LeaseID: a.Lease})
	}()
}

// call sends a request and says what is certain about it.
func (c *Client) call(class core.RequestClass, method, path string, body, into any) core.Outcome {
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
	case <-time.After(time.Second):
		if class != core.ClassLease {
			return core.Refused
		}
	}
	for try := 0; ; try++ {
		status, err := c.send(c.http, method, path, body, into)
		if err != nil {
			return core.Unknown
		}
		switch status {
		case http.StatusOK:
			return core.OK
		case http.StatusConflict:
			return core.Conflict
		case http.StatusNotFound:
			return core.NotFound
		case http.StatusBadRequest:
			if a, ok := into.(*response); ok && a.Error != leaseExpiredText {
				return core.TooLarge
			}
			return core.LeaseExpired
		case http.StatusTooManyRequests:
			if a, ok := into.(*response); ok {
				a.rateLimited = true
			}
			// What may wait is better decided anew.
			if try < 4 && class != core.ClassBackground {
				time.Sleep(time.Duration(100+rand.IntN(150)*(try+1)) * time.Millisecond)
				continue
			}
			return core.Refused
		case http.StatusServiceUnavailable:
			return core.Refused
		}
		return core.Unknown
	}
}

func (c *Client) send(h *http.Client, method, path string, body, into any) (int, error) {
	var rd io.Reader
	if body != nil {
		b, err := wire.Encode(body)
		if err != nil {
			return 0, err
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, c.base+path, rd)
	if err != nil {
		return 0, err
	}
	// A request must not be repeated behind our back: whether it was
	// carried out is for the core to reason about.
	req.GetBody = nil
	resp, err := h.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return 0, err
	}
	if into != nil && len(b) > 0 && (resp.StatusCode == 200 || resp.StatusCode == 409 || resp.StatusCode == 400) {
		if err := wire.Decode(b, into); err != nil {
			return 0, err
		}
	}
	return resp.StatusCode, nil
}

// listPageSize is how many records a page of a listing holds: the service allows 1,000 and
// 512 KiB, and a record may have 16 KiB, though most are far smaller.
const listPageSize = "500"

type keyValue struct {
	Key      string             `msgpack:"k"`
	Value    msgpack.RawMessage `msgpack:"v"`
	Revision uint64             `msgpack:"key_rev"`
	Put      string             `msgpack:"put"`
	Drop     string             `msgpack:"drop"`
}

type page struct {
	Rows     []keyValue `msgpack:"rows"`
	HasNext  bool       `msgpack:"has_next"`
	Revision uint64     `msgpack:"ledger_rev"`
	Events   []keyValue `msgpack:"events"`
}

// Watch follows all records until ctx ends, from a full listing on.
func (c *Client) Watch(ctx context.Context) {
	var rev uint64
	listed := false // an empty service is at revision 0, so rev can't tell
	for ctx.Err() == nil {
		if !listed {
			if rev, listed = c.list(); !listed {
				time.Sleep(time.Duration(200+rand.IntN(200)) * time.Millisecond)
				continue
			}
		}
		var l page
		q := url.Values{"starts": {wire.Prefix}, "from": {strconv.FormatUint(rev, 10)}, "block_ms": {"3000"}}
		status, err := c.send(c.watch, http.MethodGet, "/watch?"+q.Encode(), nil, &l)
		switch {
		case err != nil:
			time.Sleep(100 * time.Millisecond)
		case status == http.StatusOK:
			ch := core.RecordsChanged{Revision: max(rev, l.Revision)}
			for _, e := range l.Events {
				if e.Drop != "" {
					ch.Events = append(ch.Events, core.Event{Key: e.Drop, Revision: e.Revision})
				} else if v, err := wire.DecodeRecord(e.Put, e.Value); err == nil && v != nil {
					ch.Events = append(ch.Events, core.Event{Key: e.Put, Revision: e.Revision, Value: v})
				}
			}
			rev = ch.Revision
			c.post(ch)
			time.Sleep(c.watchInterval)
		case status == http.StatusGone:
			listed = false
		default:
			time.Sleep(time.Duration(150+rand.IntN(200)) * time.Millisecond)
		}
	}
}

// list reads everything. Pages are of different revisions, so the watch goes
// on from the first one's, and the core acts once it has reached the last's.
func (c *Client) list() (uint64, bool) {
	var from string
	ch := core.RecordsChanged{Reset: true}
	for first := true; ; first = false {
		q := url.Values{"starts": {wire.Prefix}, "limit": {listPageSize}}
		if from != "" {
			q.Set("from", from)
		}
		var l page
		if status, err := c.send(c.http, http.MethodGet, "/store?"+q.Encode(), nil, &l); err != nil || status != 200 {
			return 0, false
		}
		if first {
			ch.Revision = l.Revision
		}
		for _, r := range l.Rows {
			from = r.Key
			if v, err := wire.DecodeRecord(r.Key, r.Value); err == nil && v != nil {
				ch.Events = append(ch.Events, core.Event{Key: r.Key, Revision: r.Revision, Value: v})
			}
		}
		if !l.HasNext || len(l.Rows) == 0 {
			break
		}
	}
	c.post(ch)
	return ch.Revision, true
}
