package store

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/msgpackhttp"
	"micaport/internal/wire"
)

// Watch starts with a complete listing in pages, also if the service is empty and at revision
// 0, and lists again after status 410. It returns when its context ends.
func TestWatch(t *testing.T) {
	var listings, watches atomic.Int32
	job := object{"n": 2, "st": 0}
	client, inputs := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		switch {
		case r.URL.Path == "/store" && listings.Add(1) == 1:
			msgpackhttp.Respond(w, http.StatusOK, object{"rows": []any{}, "ledger_rev": 0})
		case r.URL.Path == "/store" && query.Get("from") == "":
			msgpackhttp.Respond(w, http.StatusOK, object{"rows": []any{object{"k": "m/j/wk-1", "v": job, "key_rev": 3}}, "has_next": true, "ledger_rev": 20})
		case r.URL.Path == "/store":
			msgpackhttp.Respond(w, http.StatusOK, object{"rows": []any{object{"k": "m/j/wk-2", "v": job, "key_rev": 21}}, "ledger_rev": 22})
		case watches.Add(1) == 1:
			if query.Get("from") != "0" || query.Get("starts") != wire.Prefix {
				t.Errorf("watch %s", r.URL)
			}
			msgpackhttp.Respond(w, http.StatusOK, object{"ledger_rev": 2, "events": []any{
				object{"put": "m/j/wk-1", "v": job, "key_rev": 1}, object{"drop": "m/leader", "key_rev": 2}}})
		case watches.Load() == 2:
			w.WriteHeader(http.StatusGone)
		default:
			if query.Get("from") != "20" {
				t.Errorf("watch after the second listing from %s, want 20", query.Get("from"))
			}
			time.Sleep(50 * time.Millisecond)
			msgpackhttp.Respond(w, http.StatusOK, object{"ledger_rev": 22, "events": []any{}})
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Watch(ctx)
	}()
	if change := next[core.RecordsChanged](t, inputs); !change.Reset || change.Revision != 0 || len(change.Events) != 0 {
		t.Errorf("first listing: %+v", change)
	}
	change := next[core.RecordsChanged](t, inputs)
	if change.Reset || change.Revision != 2 || len(change.Events) != 2 || change.Events[0].Value.(*wire.Job).TaskCount != 2 || change.Events[1].Value != nil {
		t.Errorf("events: %+v", change)
	}
	if change := next[core.RecordsChanged](t, inputs); !change.Reset || change.Revision != 20 || len(change.Events) != 2 {
		t.Errorf("second listing: %+v", change)
	}
	if change := next[core.RecordsChanged](t, inputs); change.Reset || change.Revision != 22 {
		t.Errorf("events after the second listing: %+v", change)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("Watch has not returned within 10 s of the end of its context")
	}
}
