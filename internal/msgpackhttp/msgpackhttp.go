// Package msgpackhttp sends and answers HTTP requests with MessagePack bodies. The adapters
// to the state service, the cloud and the workers send with it, and the API answers with it.
// Their protocols differ in what a status means; the exchange itself is the same.
package msgpackhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"micaport/internal/wire"
)

// ErrNotSent says that a request could not be built, so that certainly nothing was sent.
var ErrNotSent = errors.New("request was not sent")

// Request is an HTTP request.
type Request struct {
	Method string // one of the http.Method constants
	URL    string
	Body   any // encoded as MessagePack; nil sends no body
	// NoReplay keeps net/http from sending a request with a body again on a new connection
	// when an idle one turns out to be closed. It is for callers that must know how often
	// the receiver may have seen a request.
	NoReplay bool
	// MaxResponseBytes is how much of the response's body is read; the rest is discarded.
	MaxResponseBytes int64
}

// Response is the response to a Request.
type Response struct {
	Status int    // one of the http.Status constants
	Body   []byte // as received; Decode decodes it
}

// Do sends a request and reads the response.
//
// An error wraps ErrNotSent when the request could not be built. Any other error is that of
// client.Do, a *url.Error, if there is no response: then the request may have been carried
// out. If the response broke off after its header, Do returns its status with the error.
func Do(ctx context.Context, client *http.Client, r Request) (Response, error) {
	request, err := build(ctx, r)
	if err != nil {
		return Response{}, fmt.Errorf("%s %s: %w: %w", r.Method, r.URL, ErrNotSent, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, err // names the method and the URL
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, r.MaxResponseBytes))
	if err != nil {
		return Response{Status: response.StatusCode}, fmt.Errorf("%s %s: read response: %w", r.Method, r.URL, err)
	}
	return Response{Status: response.StatusCode, Body: body}, nil
}

// build makes the request of net/http, with the encoded body.
func build(ctx context.Context, r Request) (*http.Request, error) {
	var body io.Reader
	if r.Body != nil {
		encoded, err := wire.Encode(r.Body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, r.URL, body)
	if err != nil {
		return nil, err
	}
	if r.NoReplay {
		request.GetBody = nil // without it the transport has nothing to send again
	}
	return request, nil
}

// Decode decodes the body into the value that target points to.
func (r *Response) Decode(target any) error {
	if err := wire.Decode(r.Body, target); err != nil {
		return fmt.Errorf("response with status %d: %w", r.Status, err)
	}
	return nil
}

// contentType is the media type of all bodies.
const contentType = "application/msgpack"

// Respond writes a response with a body, which is encoded as MessagePack unless it is a
// []byte, which is already encoded. A body that can't be encoded becomes status 500. Errors
// of the connection are left to the HTTP server, which closes it.
func Respond(w http.ResponseWriter, status int, body any) {
	encoded, isEncoded := body.([]byte)
	if !isEncoded {
		var err error
		if encoded, err = wire.Encode(body); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	w.Write(encoded)
}
