// Package api serves users and the balancer's health checks over HTTP, and
// mounts the workers' side on the same address.
package api

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// MaxBody is the protocol's limit for request bodies.
const MaxBody = 64 << 10

// Ask hands a request to the core and waits for its reply.
type Ask func(request func(req uint64) core.Input) (core.Reply, bool)

// Routes adds the users' routes.
func Routes(r *httprouter.Router, ask Ask, ready func() bool) {
	r.POST("/api/jobs", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		if body, ok := Body(w, q); ok {
			serve(w, ask, core.UserRequest{Kind: wire.RequestSubmit, Body: body})
		}
	})
	r.GET("/api/jobs/:ref", func(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
		serve(w, ask, core.UserRequest{Kind: wire.RequestStatus, JobID: p.ByName("ref")})
	})
	r.POST("/api/jobs/:ref/withdraw", func(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
		serve(w, ask, core.UserRequest{Kind: wire.RequestCancel, JobID: p.ByName("ref")})
	})
	r.GET("/ready", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if ready() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		Write(w, core.Reply{Status: 404, Body: wire.Error{Error: "no such path"}})
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		Write(w, core.Reply{Status: 405, Body: wire.Error{Error: "method not allowed"}})
	})
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
}

// Body reads a request's body within the limit, or answers 400 itself.
func Body(w http.ResponseWriter, q *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, MaxBody))
	if err != nil {
		var large *http.MaxBytesError
		text := "body could not be read"
		if errors.As(err, &large) {
			text = "body is too large"
		}
		Write(w, core.Reply{Status: 400, Body: wire.Error{Error: text}})
		return nil, false
	}
	return body, true
}

func serve(w http.ResponseWriter, ask Ask, u core.UserRequest) {
	rep, ok := ask(func(req uint64) core.Input { u.RequestID = req; return u })
	if !ok {
		rep = core.Reply{Status: 503, Body: wire.Error{Error: "overloaded"}, RetryAfterS: 1}
	}
	Write(w, rep)
}

// Write sends a reply.
func Write(w http.ResponseWriter, r core.Reply) {
	b, raw := r.Body.([]byte)
	if !raw {
		var err error
		if b, err = wire.Encode(r.Body); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	h := w.Header()
	h.Set("Content-Type", "application/msgpack")
	if r.RetryAfterS > 0 {
		h.Set("Retry-After", strconv.Itoa(r.RetryAfterS))
	}
	w.WriteHeader(r.Status)
	w.Write(b)
}

// Server bounds slow and half-open connections. A connection that has been idle
// for a worker's lease is of no use to its worker any more. With nearly as many
// connections as there is room for, the one that has been idle longest makes way:
// those of dead machines and of machines behind a cut are idle longest, and
// would lock out users, probes and the workers of a controller that has ended.
func Server(h http.Handler, lease time.Duration, room int) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 15 * time.Second,
		WriteTimeout: 15 * time.Second, IdleTimeout: lease, MaxHeaderBytes: 8 << 10,
		ConnState: newConnLimiter(room - max(1, room/16)).stateChanged,
	}
}
