package store

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/msgpackhttp"
	"micaport/internal/wire"
)

func TestCommitOutcomes(t *testing.T) {
	for _, test := range []struct {
		status    int
		errorText string
		want      kv.Outcome
		revision  uint64
	}{
		{http.StatusOK, "", kv.OK, 7},
		{http.StatusConflict, "", kv.Conflict, 7},
		{http.StatusBadRequest, "no such lease", kv.LeaseExpired, 7},
		{http.StatusBadRequest, "value too large", kv.TooLarge, 7},
		{http.StatusBadRequest, "", kv.TooLarge, 7},
		{http.StatusServiceUnavailable, "", kv.Refused, 0},
		{http.StatusInternalServerError, "", kv.Unknown, 0},
	} {
		var sent object
		client, inputs := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if r.URL.Path != "/commit" || wire.Decode(body, &sent) != nil {
				t.Errorf("received %s %x", r.URL, body)
			}
			msgpackhttp.Respond(w, test.status, object{"ledger_rev": 7, "error": test.errorText})
		})
		client.Commit(t.Context(), core.Commit{
			ID:         3,
			Conditions: []kv.Condition{{Key: "m/a", Revision: 5}},
			Writes:     []kv.Write{{Key: "m/p/x", Value: &wire.Shard{Owner: "n0"}, LeaseID: 9}, {Key: "m/b"}},
		})
		if result := next[core.Committed](t, inputs); result.ID != 3 || result.Outcome != test.want || result.Revision != test.revision {
			t.Errorf("status %d %q: got %+v, want outcome %d, revision %d", test.status, test.errorText, result, test.want, test.revision)
		}
		writes := sent["writes"].([]any)
		first, second := writes[0].(object), writes[1].(object)
		if first["put"] != "m/p/x" || first["permit"] == nil || first["v"].(object)["o"] != "n0" || second["drop"] != "m/b" {
			t.Errorf("sent %v", sent)
		}
	}
}

// The HTTP client must not retry a transaction whose response is lost: the core itself finds
// out whether it was committed.
func TestLostResponseIsUnknown(t *testing.T) {
	var attempts atomic.Int32
	client, inputs := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		attempts.Add(1)
		if connection, _, err := w.(http.Hijacker).Hijack(); err == nil {
			connection.Close()
		}
	})
	client.Commit(t.Context(), core.Commit{ID: 1, Class: core.ClassUser, Writes: []kv.Write{{Key: "m/b"}}})
	if result := next[core.Committed](t, inputs); result.Outcome != kv.Unknown {
		t.Errorf("got %+v", result)
	}
	time.Sleep(100 * time.Millisecond)
	if attempts.Load() != 1 {
		t.Errorf("sent %d times, want once", attempts.Load())
	}
}

func TestRateLimitedRequestIsRepeated(t *testing.T) {
	var attempts atomic.Int32
	client, inputs := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if attempts.Add(1) < 3 {
			msgpackhttp.Respond(w, http.StatusTooManyRequests, object{})
			return
		}
		msgpackhttp.Respond(w, http.StatusOK, object{"v": object{"st": 1, "n": 4}, "key_rev": 12})
	})
	client.ReadJob(t.Context(), core.ReadJob{ID: 2, JobID: "wk-1"})
	if result := next[core.JobRead](t, inputs); result.Outcome != kv.OK || result.Revision != 12 || result.Job.State != wire.JobDone || result.Job.TaskCount != 4 {
		t.Errorf("got %+v", result)
	}
}

func TestLease(t *testing.T) {
	client, inputs := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/grants":
			msgpackhttp.Respond(w, http.StatusOK, object{"permit": 41})
		case "/grants/41/extend":
			msgpackhttp.Respond(w, http.StatusOK, object{})
		default:
			msgpackhttp.Respond(w, http.StatusNotFound, object{})
		}
	})
	client.RenewLease(t.Context(), core.RenewLease{ID: 1, TTL: 5 * time.Second})
	if result := next[core.LeaseAnswered](t, inputs); result.Outcome != kv.OK || result.LeaseID != 41 {
		t.Errorf("got %+v", result)
	}
	client.RenewLease(t.Context(), core.RenewLease{ID: 2, LeaseID: 41})
	if result := next[core.LeaseAnswered](t, inputs); result.Outcome != kv.OK {
		t.Errorf("got %+v", result)
	}
	client.RenewLease(t.Context(), core.RenewLease{ID: 3, LeaseID: 42})
	if result := next[core.LeaseAnswered](t, inputs); result.Outcome != kv.NotFound {
		t.Errorf("got %+v", result)
	}
}

// Guards against a user's request that is repeated without a pause while connections to the state
// service are reset at once, which took a controller's processor time. A lease can't wait.
func TestUnknownOutcomeIsNotReportedAtOnce(t *testing.T) {
	const duration, maxPerSecond = 500 * time.Millisecond, 10
	client, inputs := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if connection, _, err := w.(http.Hijacker).Hijack(); err == nil {
			connection.Close()
		}
	})
	repeat := func(send func()) (sent int) {
		for started := time.Now(); time.Since(started) < duration; sent++ {
			send()
		}
		return sent
	}
	reads := repeat(func() {
		client.ReadJob(t.Context(), core.ReadJob{ID: 1, JobID: "wk-1"})
		if result := next[core.JobRead](t, inputs); result.Outcome != kv.Unknown {
			t.Errorf("got %+v", result)
		}
	})
	if limit := int(duration.Seconds()*maxPerSecond) + 1; reads > limit {
		t.Errorf("%d reads in %v, want at most %d", reads, duration, limit)
	}
	const renewals = 5
	fastest := time.Hour // of several, as the machine may be busy
	for range renewals {
		started := time.Now()
		client.RenewLease(t.Context(), core.RenewLease{ID: 2, LeaseID: 42})
		if result := next[core.LeaseAnswered](t, inputs); result.Outcome != kv.Unknown {
			t.Errorf("got %+v", result)
		}
		fastest = min(fastest, time.Since(started))
	}
	if fastest >= time.Second/maxPerSecond {
		t.Errorf("each of %d renewals takes at least %v", renewals, fastest)
	}
}
