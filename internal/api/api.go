// Package api is the HTTP API for users (POST and GET /api/jobs, cancellation) and for the load
// balancer's health checks (GET /ready), with MessagePack bodies. It converts HTTP requests to
// inputs of the core. It also limits the connections to the listener, which serves the routes of
// package worker as well.
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

// MaxBodyBytes is the largest body of a request that the protocol allows.
const MaxBodyBytes = 64 << 10

// OverloadedText is the error of requests that the core could not accept or answer in time.
const OverloadedText = "overloaded"

// overloadedRetryS is the Retry-After of responses with OverloadedText to users, in seconds.
const overloadedRetryS = 1

// Dispatch passes an input to the core and returns the reply. It calls newInput with the ID of
// the request, which the input and its reply contain. It returns false if the core could not
// accept the input, or did not reply in time.
type Dispatch func(newInput func(requestID uint64) core.Input) (core.Reply, bool)

// RegisterRoutes adds the routes for users, whose requests are passed to dispatch, and the
// health check, which succeeds while ready returns true.
func RegisterRoutes(router *httprouter.Router, dispatch Dispatch, ready func() bool) {
	const jobParam = "job"
	router.POST("/api/jobs", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if body, ok := ReadBody(w, r); ok {
			serveUserRequest(w, dispatch, core.UserRequest{Kind: wire.RequestSubmit, Body: body})
		}
	})
	router.GET("/api/jobs/:"+jobParam, func(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
		serveUserRequest(w, dispatch, core.UserRequest{Kind: wire.RequestStatus, JobID: params.ByName(jobParam)})
	})
	router.POST("/api/jobs/:"+jobParam+"/withdraw", func(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
		serveUserRequest(w, dispatch, core.UserRequest{Kind: wire.RequestCancel, JobID: params.ByName(jobParam)})
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

// ReadBody returns the body of a request. If the body can't be read or is too large, ReadBody
// responds with status 400 and returns false.
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

// serveUserRequest passes a user's request to the core and writes the reply.
func serveUserRequest(w http.ResponseWriter, dispatch Dispatch, request core.UserRequest) {
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

// WriteError writes a response whose body is a wire.Error with the text.
func WriteError(w http.ResponseWriter, status int, text string) {
	msgpackhttp.Respond(w, status, wire.Error{Error: text})
}

const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 15 * time.Second
	maxHeaderBytes    = 8 << 10
	// One in spareConnectionDivisor of the allowed connections is kept free.
	spareConnectionDivisor = 16
)

// NewServer returns an HTTP server that limits the duration of requests, and limits the number of
// connections by closing idle ones.
//
// A connection that has been idle for the duration of a worker lease is closed: if it belongs to
// a worker, the worker's lease has expired. When nearly maxConnections are open, each new
// connection closes the one that has been idle for longest. The longest idle connections are
// those of failed or partitioned machines, which would otherwise lock out users, health checks
// and the workers of a controller that has failed.
func NewServer(handler http.Handler, workerLease time.Duration, maxConnections int) *http.Server {
	limiter := newConnLimiter(maxConnections - max(1, maxConnections/spareConnectionDivisor))
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: workerLease, MaxHeaderBytes: maxHeaderBytes,
		ConnState: limiter.stateChanged,
	}
}
