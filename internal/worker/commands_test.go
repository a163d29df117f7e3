package worker

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// The outcome of a start command determines which evidence later proves that its task has
// stopped, so it may be Refused only if the worker certainly did not execute the command.
func TestCommandOutcomes(t *testing.T) {
	const noResponse = 0
	var status atomic.Int32
	hang := make(chan struct{})
	batches := make(chan wire.CommandBatch, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if status.Load() == noResponse {
			<-hang
			return
		}
		var batch wire.CommandBatch
		body, err := io.ReadAll(r.Body)
		if err == nil {
			err = wire.Decode(body, &batch)
		}
		if err != nil || r.URL.Path != "/orders" {
			t.Errorf("received %s: %v", r.URL.Path, err)
		}
		batches <- batch
		w.WriteHeader(int(status.Load()))
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(hang) }) // before the server closes, which waits for its handlers
	results := make(chan kv.Outcome, 1)
	client := NewCommandClient(func(input core.Input) { results <- input.(core.CommandsAnswered).Outcome })
	client.http.Timeout = 300 * time.Millisecond
	address := server.Listener.Addr().String()
	for _, test := range []struct {
		name    string
		address string
		status  int32
		want    kv.Outcome
	}{
		{"carried out", address, http.StatusOK, kv.OK},
		{"another token or epoch", address, http.StatusConflict, kv.Conflict},
		{"failure of the worker", address, http.StatusInternalServerError, kv.Unknown},
		{"no response", address, noResponse, kv.Unknown},
		{"refused connection", unusedAddress(t), http.StatusOK, kv.Refused},
	} {
		status.Store(test.status)
		client.Send(t.Context(), core.SendCommands{ID: 1, Address: test.address, Batch: wire.CommandBatch{Token: 41, Epoch: 3,
			Commands: []wire.Command{{Op: wire.CommandStart, Task: "wk-000001/0", Attempt: 2}}}})
		if outcome := <-results; outcome != test.want {
			t.Errorf("%s: outcome %d, want %d", test.name, outcome, test.want)
		}
	}
	if batch := <-batches; batch.Token != 41 || batch.Epoch != 3 || len(batch.Commands) != 1 || batch.Commands[0].Attempt != 2 {
		t.Errorf("the worker received %+v", batch)
	}
}
