package cloud

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/msgpackhttp"
	"micaport/internal/wire"
)

// call makes a call to a cloud that is simulated by the handler, and returns the result.
func call(t *testing.T, handler http.HandlerFunc, request core.CallCloud) core.CloudAnswered {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	results := make(chan core.CloudAnswered, 1)
	client := New(strings.TrimPrefix(server.URL, "http://"), 100, func(input core.Input) { results <- input.(core.CloudAnswered) })
	client.Call(t.Context(), request)
	select {
	case result := <-results:
		return result
	case <-time.After(10 * time.Second):
		t.Fatal("no result within 10 s")
		panic("unreachable")
	}
}

// object is a MessagePack map, the form of all responses of the cloud.
type object = map[string]any

// The core needs to distinguish these outcomes: after NoCapacity it tries another machine type
// or zone, after Refused the same one later, and after Unknown the request may have been
// processed.
func TestProvisionOutcomes(t *testing.T) {
	provision := core.CallCloud{ID: 4, ValidFor: time.Minute, Provision: &wire.ProvisionRequest{Name: "r-1-1", MachineType: "g2", Zone: "a", Count: 2}}
	for _, test := range []struct {
		status int
		body   any
		want   kv.Outcome
	}{
		{http.StatusOK, object{"hosts": []string{"vm-1"}}, kv.OK},
		{http.StatusServiceUnavailable, object{"error": "no capacity"}, kv.NoCapacity},
		{http.StatusServiceUnavailable, object{"error": "trouble"}, kv.Refused},
		{http.StatusTooManyRequests, object{}, kv.Refused},
		{http.StatusInternalServerError, object{}, kv.Unknown},
	} {
		result := call(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost || r.URL.Path != "/hosts" {
				t.Errorf("received %s %s", r.Method, r.URL)
			}
			msgpackhttp.Respond(w, test.status, test.body)
		}, provision)
		if result.ID != 4 || result.Outcome != test.want || (test.want == kv.OK) != (len(result.Names) == 1) {
			t.Errorf("status %d, body %v: got %+v, want outcome %d", test.status, test.body, result, test.want)
		}
	}
}

func TestListFollowsPages(t *testing.T) {
	result := call(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("from") {
		case "":
			msgpackhttp.Respond(w, http.StatusOK, object{"hosts": []any{object{"ref": "vm-1", "status": "booting", "age_s": 3.5}}, "has_next": true})
		case "vm-1":
			msgpackhttp.Respond(w, http.StatusOK, object{"hosts": []any{object{"ref": "vm-2", "status": "running"}}, "has_next": false})
		default:
			t.Errorf("received %s", r.URL)
		}
	}, core.CallCloud{ListMachines: true})
	if result.Outcome != kv.OK || len(result.Machines) != 2 || result.Machines[0].AgeS != 3.5 || result.Machines[1].Name != "vm-2" {
		t.Errorf("got %+v", result)
	}
}

// A call that was decided too long ago is not sent: another controller may be the leader by
// now, and the machines may be in use.
func TestLateDeprovisioningIsNotSent(t *testing.T) {
	sent := false
	result := call(t, func(w http.ResponseWriter, _ *http.Request) {
		sent = true
		msgpackhttp.Respond(w, http.StatusOK, object{})
	}, core.CallCloud{ID: 5, Deprovision: []string{"vm-1"}, ValidFor: time.Nanosecond})
	if sent || result.Outcome != kv.Refused || result.ID != 5 {
		t.Errorf("sent: %v, got %+v", sent, result)
	}
}

// A waiting call may be started until the permission of its term ends. Later permissions of
// the same term extend that time, those of other terms do not.
func TestCallsNeedThePermissionOfTheirTerm(t *testing.T) {
	now := time.Now()
	client := New("127.0.0.1:1", 100, nil)
	request := core.CallCloud{Deprovision: []string{"vm-1"}, ValidFor: time.Second, Term: 7}
	if deadline := client.startDeadline(request, now); !deadline.IsZero() {
		t.Errorf("without a permission the call may be started until %v", deadline)
	}
	for _, until := range []time.Time{now.Add(3 * time.Second), now.Add(4 * time.Second)} {
		client.AllowCalls(7, until)
		if deadline := client.startDeadline(request, now); !deadline.Equal(until) {
			t.Errorf("the call may be started until %v, want %v", deadline, until)
		}
	}
	client.AllowCalls(9, now.Add(time.Minute))
	if !client.startDeadline(request, now).IsZero() {
		t.Error("a call of an earlier term may be started")
	}
	request.Term = 0
	if !client.startDeadline(request, now).Equal(now.Add(time.Second)) {
		t.Error("a call without a term depends on the permission of a term")
	}
}
