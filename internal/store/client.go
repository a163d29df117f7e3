// Package store is the adapter to the state service, a strongly consistent key-value store
// with leases, spoken to in MessagePack over HTTP: GET /store, POST /commit, POST /grants and
// GET /watch. It carries out the core's conditional transactions, reads and lease requests,
// and follows all records of the scheduler so that the core's replica stays up to date.
// AdminClient serves the operators' commands.
package store

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/msgpackhttp"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 60 * time.Second
	requestTimeout  = 1500 * time.Millisecond
	// watchBlock is how long the state service may hold a watch without changes, and
	// watchTimeout leaves it time for the response.
	watchBlock   = 3 * time.Second
	watchTimeout = watchBlock + 1500*time.Millisecond

	// maxInFlight bounds the requests in progress, watches aside; slotTimeout is how long
	// another one waits for its turn.
	maxInFlight = 24
	slotTimeout = time.Second

	// maxResponseBytes bounds a response; those of the watch have no limit of their own.
	maxResponseBytes = 64 << 20

	// minWatchInterval lets changes, which come in bursts, gather between two watches.
	minWatchInterval = 40 * time.Millisecond
	// watchShare: the watches of all controllers take at most one in so many of the
	// requests that the service allows.
	watchShare = 3
)

// Client carries out the requests of one controller. Every request runs in a goroutine of
// its own, which delivers the result to the core and ends early when its context does.
type Client struct {
	baseURL       string
	http          *http.Client
	watchHTTP     *http.Client
	background    *rate.Limiter // of requests of core.ClassBackground
	inFlight      chan struct{} // a slot for each request in progress
	watchInterval time.Duration // between two watches
	post          func(core.Input)
	running       sync.WaitGroup // requests
}

// New returns a client of the state service at an address (host:port) that keeps within a
// controller's share of the service's requests a second, given the number of controllers
// (members). Post delivers results to the core.
func New(address string, members int, rps float64, post func(core.Input)) *Client {
	// The core keeps to its share of the writes; this keeps any one controller from using up
	// the requests with those that can wait.
	backgroundRate := rate.Limit(rps * min(1, 2/float64(members)))
	watchInterval := time.Duration(float64(watchShare*members) / rps * float64(time.Second))
	return &Client{
		baseURL:       "http://" + address,
		http:          &http.Client{Transport: newTransport(config.StateSockets), Timeout: requestTimeout},
		watchHTTP:     &http.Client{Transport: newTransport(config.WatchSockets), Timeout: watchTimeout},
		background:    rate.NewLimiter(backgroundRate, max(1, int(rps/4))),
		inFlight:      make(chan struct{}, maxInFlight),
		watchInterval: max(minWatchInterval, watchInterval),
		post:          post,
	}
}

// newTransport returns a transport that keeps at most maxConns connections.
func newTransport(maxConns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxConns, MaxConnsPerHost: maxConns,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}
}

// Wait returns when all requests have ended. No request may begin meanwhile.
func (c *Client) Wait() { c.running.Wait() }

// exchange sends one request and decodes the response into target if its status is one of
// those with a body for the caller: 200, 400 and 409. After an error the request may have
// been carried out, unless it wraps msgpackhttp.ErrNotSent.
func (c *Client) exchange(ctx context.Context, client *http.Client, method, path string, body, target any) (status int, err error) {
	response, err := msgpackhttp.Do(ctx, client, msgpackhttp.Request{
		Method: method, URL: c.baseURL + path, Body: body,
		NoReplay:         true, // whether a transaction was carried out is for the core to find out
		MaxResponseBytes: maxResponseBytes,
	})
	if err != nil {
		return 0, err
	}
	switch response.Status {
	case http.StatusOK, http.StatusBadRequest, http.StatusConflict:
		if len(response.Body) == 0 {
			break
		}
		if err := response.Decode(target); err != nil {
			return 0, err
		}
	}
	return response.Status, nil
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
