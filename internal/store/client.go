// Package store is the adapter to the state service, a strongly consistent key-value store
// with leases whose API is MessagePack over HTTP: GET /store, POST /commit, POST /grants and
// GET /watch. Client sends the core's conditional transactions, reads and lease requests, and
// watches all records of the scheduler to keep the core's replica up to date. AdminClient is
// for the operators' commands.
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
	// watchBlock is how long the state service may delay the response to a watch while there
	// are no changes. watchTimeout adds time for the response itself.
	watchBlock   = 3 * time.Second
	watchTimeout = watchBlock + 1500*time.Millisecond

	// maxInFlight bounds the requests in progress, except for watches and listings.
	// slotTimeout is how long a request waits for one of these slots.
	maxInFlight = 24
	slotTimeout = time.Second

	// maxResponseBytes bounds the body of a response. The state service itself does not limit
	// the responses of watches.
	maxResponseBytes = 64 << 20

	// minWatchInterval is the minimum time between a response to a watch and the next watch.
	// Changes occur in bursts, and after the interval one response returns several of them.
	minWatchInterval = 40 * time.Millisecond
	// The watches of all controllers together are limited to one in watchRequestDivisor of
	// the requests that the service allows.
	watchRequestDivisor = 3
)

// Client sends the requests of one controller. Every request runs in a goroutine of its own,
// which delivers the result to the core; a request is cancelled when its context ends.
type Client struct {
	baseURL       string
	http          *http.Client
	watchHTTP     *http.Client
	background    *rate.Limiter // for requests of core.ClassBackground
	inFlight      chan struct{} // a slot for each request in progress
	watchInterval time.Duration // between a response to a watch and the next watch
	post          func(core.Input)
	running       sync.WaitGroup // goroutines of requests
}

// New returns a client of the state service at an address (host:port). Its watches and its
// background requests are limited to a share of rps, the requests a second that the service
// allows for all controllers; members is the number of controllers. The results of requests
// are passed to post.
func New(address string, members int, rps float64, post func(core.Input)) *Client {
	// The core limits its own writes. This limit, twice an equal share, prevents one controller
	// from using up the requests of all controllers with background requests, which can wait.
	backgroundRate := rate.Limit(rps * min(1, 2/float64(members)))
	watchInterval := time.Duration(float64(watchRequestDivisor*members) / rps * float64(time.Second))
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

// newTransport returns a transport that opens at most maxConns connections.
func newTransport(maxConns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxConns, MaxConnsPerHost: maxConns,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}
}

// Wait waits until all requests have ended. No request may be started during the wait.
func (c *Client) Wait() { c.running.Wait() }

// exchange sends a request and decodes the body of the response into target if the status is
// 200, 400 or 409. After an error the service may have processed the request, unless the
// error wraps msgpackhttp.ErrNotSent.
func (c *Client) exchange(ctx context.Context, client *http.Client, method, path string, body, target any) (status int, err error) {
	response, err := msgpackhttp.Do(ctx, client, msgpackhttp.Request{
		Method: method, URL: c.baseURL + path, Body: body,
		NoReplay:         true, // the core itself finds out whether a transaction was committed
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

// sleep waits for a duration. It returns ctx's error if ctx ends earlier.
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
