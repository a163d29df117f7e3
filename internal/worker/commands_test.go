package worker

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// What is known about a start after it was sent decides what proves that its
// task is gone, so only what certainly did not happen may be called refused.
func TestOutcomes(t *testing.T) {
	var status atomic.Int32
	hang := make(chan struct{})
	orders := make(chan wire.CommandBatch, 8)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if status.Load() == 0 {
			<-hang
			return
		}
		b := make([]byte, q.ContentLength)
		q.Body.Read(b)
		var got wire.CommandBatch
		if err := wire.Decode(b, &got); err != nil || q.URL.Path != "/orders" {
			t.Errorf("%s: %v", q.URL.Path, err)
		}
		orders <- got
		w.WriteHeader(int(status.Load()))
	}))
	defer srv.Close()
	defer close(hang)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	l.Close()
	results := make(chan core.Outcome, 1)
	c := NewClient(func(in core.Input) { results <- in.(core.CommandsAnswered).Outcome })
	c.http.Timeout = 300 * time.Millisecond
	for _, x := range []struct {
		addr   string
		status int32
		want   core.Outcome
	}{
		{srv.Listener.Addr().String(), 200, core.OK},
		{srv.Listener.Addr().String(), 409, core.Conflict},
		{srv.Listener.Addr().String(), 500, core.Unknown},
		{srv.Listener.Addr().String(), 0, core.Unknown},
		{closed, 200, core.Refused},
	} {
		status.Store(x.status)
		c.Send(core.SendCommands{ID: 1, Address: x.addr, Batch: wire.CommandBatch{Token: 41, Epoch: 3,
			Commands: []wire.Command{{Op: wire.CommandStart, Task: "wk-000001/0", Attempt: 2}}}})
		if out := <-results; out != x.want {
			t.Errorf("status %d: outcome %d, want %d", x.status, out, x.want)
		}
	}
	if got := <-orders; got.Token != 41 || got.Epoch != 3 || len(got.Commands) != 1 || got.Commands[0].Attempt != 2 {
		t.Errorf("the worker got %+v", got)
	}
}
