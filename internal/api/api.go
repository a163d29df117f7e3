// Package api serves users (POST and GET /api/jobs, cancellation) and the load balancer's
// health checks (GET /ready), in MessagePack over HTTP. It defines how an HTTP request becomes
// an input of the core, and limits the connections to the address that it shares with the
// workers' routes of package worker.
package api

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"micaport/internal/core"
	"micaport/internal/msgpackhttp"
	"micaport/internal/wire"
)

// MaxBodyBytes is the protocol's limit for the body of a request.
const MaxBodyBytes = 64 << 10

// OverloadedText is the error of requests that the core could not take or answer in time.
const OverloadedText = "overloaded"

// overloadedRetryS is after how many seconds a user may repeat such a request.
const overloadedRetryS = 1

// Dispatch passes an input to the core and waits for the reply. The input is made by newInput
// for the ID that the reply will carry. The result is false if the core could not take the
// input, or did not reply in time.
type Dispatch func(newInput func(requestID uint64) core.Input) (core.Reply, bool)

// RegisterRoutes adds the routes for users, which are passed to dispatch, and the health
// check, which succeeds once ready returns true.
func RegisterRoutes(router *httprouter.Router, dispatch Dispatch, ready func() bool) {
	const jobParam = "job"
	router.POST("/api/jobs", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if body, ok := ReadBody(w, r); ok {
			serve(w, dispatch, core.UserRequest{Kind: wire.RequestSubmit, Body: body})
		}
	})
	router.GET("/api/jobs/:"+jobParam, func(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
		serve(w, dispatch, core.UserRequest{Kind: wire.RequestStatus, JobID: params.ByName(jobParam)})
	})
	router.POST("/api/jobs/:"+jobParam+"/withdraw", func(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
		serve(w, dispatch, core.UserRequest{Kind: wire.RequestCancel, JobID: params.ByName(jobParam)})
	})
	router.GET("/ready", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if ready() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, http.StatusNotFound, "no such path")
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, http.StatusMethodNotAllowed, "method not allowed")
	})
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
}

// ReadBody reads the body of a request. If that fails or the body is too large it responds
// with status 400 and returns false.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		WriteError(w, http.StatusBadRequest, "body is too large")
	case err != nil:
		WriteError(w, http.StatusBadRequest, "body could not be read")
	}
	return body, err == nil
}

// serve passes a user's request to the core and writes the reply.
func serve(w http.ResponseWriter, dispatch Dispatch, request core.UserRequest) {
	reply, ok := dispatch(func(requestID uint64) core.Input {
		request.RequestID = requestID
		return request
	})
	if !ok {
		reply = core.Reply{
			Status:      http.StatusServiceUnavailable,
			Body:        wire.Error{Error: OverloadedText},
			RetryAfterS: overloadedRetryS,
		}
	}
	WriteReply(w, reply)
}

// WriteReply writes a reply of the core.
func WriteReply(w http.ResponseWriter, reply core.Reply) {
	if reply.RetryAfterS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(reply.RetryAfterS))
	}
	msgpackhttp.Respond(w, reply.Status, reply.Body)
}

// WriteError writes an error with its text.
func WriteError(w http.ResponseWriter, status int, text string) {
	msgpackhttp.Respond(w, status, wire.Error{Error: text})
}

const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 15 * time.Second
	maxHeaderBytes    = 8 << 10
	// spareConnections is the share, one in so many, of the connections that is kept free.
	spareConnections = 16
)

// NewServer returns an HTTP server that bounds slow and half-open connections.
//
// A connection that has been idle for a worker lease is closed, as it is of no use to its
// worker any more. When nearly maxConnections are open, the one that has been idle for longest
// is closed for each new one: those of dead machines and of machines behind a partition are
// idle for longest, and would lock out users, health checks and the workers of a controller
// that has failed.
func NewServer(handler http.Handler, workerLease time.Duration, maxConnections int) *http.Server {
	limiter := newConnLimiter(maxConnections - max(1, maxConnections/spareConnections))
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: workerLease, MaxHeaderBytes: maxHeaderBytes,
		ConnState: limiter.stateChanged,
	}
}
