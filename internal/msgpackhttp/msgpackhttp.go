// Package msgpackhttp sends HTTP requests and writes HTTP responses with MessagePack bodies. The
// adapters to the state service, the cloud and the workers send requests with it, and the API
// responds with it. The meaning of a status is left to the callers, as their protocols differ.
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

// ErrNotSent is wrapped by the error of a request that could not be built: nothing was sent.
var ErrNotSent = errors.New("request was not sent")

// Request is an HTTP request.
type Request struct {
	Method string // one of the http.Method constants
	URL    string
	Body   any // encoded as MessagePack; nil sends no body
	// NoReplay keeps net/http from resending a request with a body on a new connection when
	// an idle connection is found to be closed. It is for callers that depend on how often
	// the receiver may have received a request.
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
// If the request could not be built, the error wraps ErrNotSent. If no response was received,
// the error is the *url.Error of client.Do, and the receiver may have processed the request. If
// the response was cut off after its header, Do returns the status together with the error.
func Do(ctx context.Context, client *http.Client, r Request) (Response, error) {
	request, err := newHTTPRequest(ctx, r)
	if err != nil {
		return Response{}, fmt.Errorf("%s %s: %w: %w", r.Method, r.URL, ErrNotSent, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, err // contains the method and the URL
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, r.MaxResponseBytes))
	if err != nil {
		return Response{Status: response.StatusCode}, fmt.Errorf("%s %s: read response: %w", r.Method, r.URL, err)
	}
	return Response{Status: response.StatusCode, Body: body}, nil
}

// newHTTPRequest returns the http.Request with the encoded body.
func newHTTPRequest(ctx context.Context, r Request) (*http.Request, error) {
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
		request.GetBody = nil // without it the transport can't resend the body
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
// []byte, which must be encoded already. If the body can't be encoded, the status is 500. Write
// errors are ignored, as the HTTP server closes a broken connection.
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
