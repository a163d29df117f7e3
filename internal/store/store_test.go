package store

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// standIn answers like the state service; each test sets what it needs.
func standIn(t *testing.T, h http.HandlerFunc) (*Client, chan core.Input) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	got := make(chan core.Input, 100)
	return New(strings.TrimPrefix(srv.URL, "http://"), 3, 1000, func(in core.Input) { got <- in }), got
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := wire.Encode(v)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	w.Write(b)
}

func next[T any](t *testing.T, c chan core.Input) T {
	t.Helper()
	select {
	case v := <-c:
		x, ok := v.(T)
		if !ok {
			t.Fatalf("got %T %+v", v, v)
		}
		return x
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func TestCommitOutcomes(t *testing.T) {
	for _, c := range []struct {
		status int
		says   string
		want   core.Outcome
		rev    uint64
	}{{200, "", core.OK, 7}, {409, "", core.Conflict, 7}, {400, "no such lease", core.LeaseExpired, 7}, {400, "value too large", core.TooLarge, 7},
		{400, "", core.TooLarge, 7}, {503, "", core.Refused, 0}, {500, "", core.Unknown, 0}} {
		var seen map[string]any
		s, got := standIn(t, func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			if r.URL.Path != "/commit" || wire.Decode(b, &seen) != nil {
				t.Errorf("got %s %x", r.URL, b)
			}
			reply(w, c.status, map[string]any{"ledger_rev": 7, "error": c.says})
		})
		s.Commit(core.Commit{ID: 3, Conditions: []core.Condition{{Key: "m/a", Revision: 5}}, Writes: []core.Write{
			{Key: "m/p/x", Value: &wire.Shard{Owner: "n0"}, LeaseID: 9}, {Key: "m/b"}}})
		if r := next[core.Committed](t, got); r.ID != 3 || r.Outcome != c.want || r.Revision != c.rev {
			t.Errorf("status %d: got %+v", c.status, r)
		}
		writes := seen["writes"].([]any)
		first, second := writes[0].(map[string]any), writes[1].(map[string]any)
		if first["put"] != "m/p/x" || first["permit"] == nil || first["v"].(map[string]any)["o"] != "n0" || second["drop"] != "m/b" {
			t.Errorf("sent %v", seen)
		}
	}
}

// A transaction whose answer is lost must not be sent again by the HTTP
// client: whether it was carried out is for the core to reason about.
func TestLostAnswerIsUnknown(t *testing.T) {
	var count atomic.Int32
	s, got := standIn(t, func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			c.Close()
		}
	})
	s.Commit(core.Commit{ID: 1, Class: core.ClassUser, Writes: []core.Write{{Key: "m/b"}}})
	if r := next[core.Committed](t, got); r.Outcome != core.Unknown {
		t.Errorf("got %+v", r)
	}
	time.Sleep(100 * time.Millisecond)
	if count.Load() != 1 {
		t.Errorf("sent %d times", count.Load())
	}
}

func TestTooManyRequestsIsTriedAgain(t *testing.T) {
	var count atomic.Int32
	s, got := standIn(t, func(w http.ResponseWriter, _ *http.Request) {
		if count.Add(1) < 3 {
			reply(w, 429, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"v": map[string]any{"st": 1, "n": 4}, "key_rev": 12})
	})
	s.Read(core.ReadJob{ID: 2, JobID: "wk-1"})
	if r := next[core.JobRead](t, got); r.Outcome != core.OK || r.Revision != 12 || r.Job.State != wire.JobDone || r.Job.TaskCount != 4 {
		t.Errorf("got %+v", r)
	}
}

func TestLease(t *testing.T) {
	s, got := standIn(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/grants":
			reply(w, 200, map[string]any{"permit": 41})
		case "/grants/41/extend":
			reply(w, 200, map[string]any{})
		default:
			reply(w, 404, map[string]any{})
		}
	})
	s.Lease(core.RenewLease{ID: 1, TTL: 5 * time.Second})
	if r := next[core.LeaseAnswered](t, got); r.Outcome != core.OK || r.LeaseID != 41 {
		t.Errorf("got %+v", r)
	}
	s.Lease(core.RenewLease{ID: 2, LeaseID: 41})
	if r := next[core.LeaseAnswered](t, got); r.Outcome != core.OK {
		t.Errorf("got %+v", r)
	}
	s.Lease(core.RenewLease{ID: 3, LeaseID: 42})
	if r := next[core.LeaseAnswered](t, got); r.Outcome != core.NotFound {
		t.Errorf("got %+v", r)
	}
}

// The watch starts from a full listing in pages, also of an empty service at
// revision 0, and lists anew when it has fallen too far behind.
func TestWatch(t *testing.T) {
	var lists, watches atomic.Int32
	job := map[string]any{"n": 2, "st": 0}
	s, got := standIn(t, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		switch {
		case r.URL.Path == "/store" && lists.Add(1) == 1:
			reply(w, 200, map[string]any{"rows": []any{}, "ledger_rev": 0})
		case r.URL.Path == "/store" && q.Get("from") == "":
			reply(w, 200, map[string]any{"rows": []any{map[string]any{"k": "m/j/wk-1", "v": job, "key_rev": 3}}, "has_next": true, "ledger_rev": 20})
		case r.URL.Path == "/store":
			reply(w, 200, map[string]any{"rows": []any{map[string]any{"k": "m/j/wk-2", "v": job, "key_rev": 21}}, "ledger_rev": 22})
		case watches.Add(1) == 1:
			if q.Get("from") != "0" || q.Get("starts") != wire.Prefix {
				t.Errorf("watch %s", r.URL)
			}
			reply(w, 200, map[string]any{"ledger_rev": 2, "events": []any{
				map[string]any{"put": "m/j/wk-1", "v": job, "key_rev": 1}, map[string]any{"drop": "m/leader", "key_rev": 2}}})
		case watches.Load() == 2:
			w.WriteHeader(http.StatusGone)
		default:
			if q.Get("from") != "20" {
				t.Errorf("watch after listing anew from %s", q.Get("from"))
			}
			time.Sleep(50 * time.Millisecond)
			reply(w, 200, map[string]any{"ledger_rev": 22, "events": []any{}})
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go s.Watch(ctx)
	if c := next[core.RecordsChanged](t, got); !c.Reset || c.Revision != 0 || len(c.Events) != 0 {
		t.Errorf("first listing: %+v", c)
	}
	c := next[core.RecordsChanged](t, got)
	if c.Reset || c.Revision != 2 || len(c.Events) != 2 || c.Events[0].Value.(*wire.Job).TaskCount != 2 || c.Events[1].Value != nil {
		t.Errorf("events: %+v", c)
	}
	if c := next[core.RecordsChanged](t, got); !c.Reset || c.Revision != 20 || len(c.Events) != 2 {
		t.Errorf("second listing: %+v", c)
	}
	if c := next[core.RecordsChanged](t, got); c.Reset || c.Revision != 22 {
		t.Errorf("after it: %+v", c)
	}
}
