//go:build review

// Package standin has small stand-ins for the systems around the controllers: state service,
// cloud, workers and users, over HTTP with MessagePack on loopback addresses, as the protocol
// page describes them. It also starts the controllers with the command of the deploy file.
// The programs under review/ use it.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Map is a MessagePack map.
type Map = map[string]any

func encode(v any) []byte {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // only values of this package are encoded
	}
	return raw
}

// jsonSize returns the size of v in the form in which the protocol page measures limits.
func jsonSize(v any) int {
	text, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(text)
}

// respond writes a response with a MessagePack body.
func respond(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_, _ = w.Write(encode(body)) // the peer may have gone
}

// readMap decodes the body of a request.
func readMap(r *http.Request) (Map, bool) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, false
	}
	var m Map
	if len(raw) == 0 {
		return Map{}, true
	}
	if err := msgpack.Unmarshal(raw, &m); err != nil {
		return nil, false
	}
	return m, true
}

// Answer is the answer to a request; Status 0 means that none came.
type Answer struct {
	Status     int
	Body       Map
	RetryAfter string
	Err        error
}

// Text returns a text field of the body.
func (a Answer) Text(field string) string {
	s, _ := a.Body[field].(string)
	return s
}

// Call sends a request and waits for the answer until the timeout.
func Call(client *http.Client, method, url string, body []byte, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err}
	}
	answer := Answer{Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After")}
	_ = msgpack.Unmarshal(raw, &answer.Body) // an empty body is allowed
	return answer
}

func text(v any) string {
	s, _ := v.(string)
	return s
}

// number returns a value of any numeric type as a float64.
func number(v any) float64 {
	switch x := v.(type) {
	case float64:
		return x
	case float32:
		return float64(x)
	case int8:
		return float64(x)
	case int16:
		return float64(x)
	case int32:
		return float64(x)
	case int64:
		return float64(x)
	case int:
		return float64(x)
	case uint8:
		return float64(x)
	case uint16:
		return float64(x)
	case uint32:
		return float64(x)
	case uint64:
		return float64(x)
	}
	return 0
}

func integer(v any) uint64 {
	if x, ok := v.(uint64); ok {
		return x
	}
	return uint64(number(v))
}
