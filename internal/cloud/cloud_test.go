package cloud

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

func call(t *testing.T, h http.HandlerFunc, q core.CallCloud) core.CloudAnswered {
	t.Helper()
	srv := httptest.NewServer(h)
	defer srv.Close()
	got := make(chan core.CloudAnswered, 1)
	New(strings.TrimPrefix(srv.URL, "http://"), 100, func(in core.Input) { got <- in.(core.CloudAnswered) }).Call(q)
	select {
	case r := <-got:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no answer")
		panic("unreachable")
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := wire.Encode(v)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	w.Write(b)
}

// "no capacity" says to try another pool, trouble to try again, and no answer
// that the request may have been carried out.
func TestHireOutcomes(t *testing.T) {
	hire := core.CallCloud{ID: 4, ValidFor: time.Minute, Provision: &wire.ProvisionRequest{Name: "r-1-1", MachineType: "g2", Zone: "a", Count: 2}}
	for _, c := range []struct {
		status int
		body   any
		want   core.Outcome
	}{
		{200, map[string]any{"hosts": []string{"vm-1"}}, core.OK}, {503, map[string]any{"error": "no capacity"}, core.NoCapacity},
		{503, map[string]any{"error": "trouble"}, core.Refused}, {429, map[string]any{}, core.Refused}, {500, map[string]any{}, core.Unknown},
	} {
		r := call(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != "POST" || r.URL.Path != "/hosts" {
				t.Errorf("%s %s", r.Method, r.URL)
			}
			reply(w, c.status, c.body)
		}, hire)
		if r.ID != 4 || r.Outcome != c.want || (c.want == core.OK) != (len(r.Names) == 1) {
			t.Errorf("%d %v: got %+v", c.status, c.body, r)
		}
	}
}

func TestListFollowsPages(t *testing.T) {
	r := call(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			reply(w, 200, map[string]any{"hosts": []any{map[string]any{"ref": "vm-1", "status": "booting", "age_s": 3.5}}, "has_next": true})
			return
		}
		if r.URL.Query().Get("from") != "vm-1" {
			t.Errorf("asked %s", r.URL)
		}
		reply(w, 200, map[string]any{"hosts": []any{map[string]any{"ref": "vm-2", "status": "running"}}, "has_next": false})
	}, core.CallCloud{ListMachines: true})
	if r.Outcome != core.OK || len(r.Machines) != 2 || r.Machines[0].AgeS != 3.5 || r.Machines[1].Name != "vm-2" {
		t.Errorf("got %+v", r)
	}
}

// What was decided long ago is not sent: another leads by then, and the
// machines may be in use.
func TestLateReturnIsNotSent(t *testing.T) {
	sent := false
	r := call(t, func(w http.ResponseWriter, r *http.Request) {
		sent = true
		reply(w, 200, map[string]any{})
	}, core.CallCloud{ID: 5, Deprovision: []string{"vm-1"}, ValidFor: time.Nanosecond})
	if sent || r.Outcome != core.Refused || r.ID != 5 {
		t.Errorf("sent: %v, got %+v", sent, r)
	}
}

// A call that waits for its turn may be begun for as long as the right of its term lasts,
// which later proofs extend, and not under another term.
func TestCallsFollowTheRightOfTheirTerm(t *testing.T) {
	now := time.Now()
	c := New("127.0.0.1:1", 100, nil)
	q := core.CallCloud{Deprovision: []string{"vm-1"}, ValidFor: time.Second, Term: 7}
	if d := c.deadline(q, now); !d.IsZero() {
		t.Errorf("without a right it may be begun until %v", d)
	}
	for _, until := range []time.Time{now.Add(3 * time.Second), now.Add(4 * time.Second)} {
		if c.Allow(7, until); !c.deadline(q, now).Equal(until) {
			t.Errorf("until %v, not %v", c.deadline(q, now), until)
		}
	}
	if c.Allow(9, now.Add(time.Minute)); !c.deadline(q, now).IsZero() {
		t.Error("a call of an earlier term may be begun")
	}
	if q.Term = 0; !c.deadline(q, now).Equal(now.Add(time.Second)) {
		t.Error("a call without a term follows another right")
	}
}
