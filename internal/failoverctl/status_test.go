package failoverctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"micaport/internal/config"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// fakeRecords is a state service with a record of takeovers. List returns err.
type fakeRecords struct{ err error }

func (r fakeRecords) List(context.Context, string) (map[string]kv.Event, error) {
	record := &wire.Takeovers{List: []wire.Takeover{{From: "n2", To: "n0", Replaced: 9, At: 1764640000000, SilenceMS: 1010, Broken: true,
		Suspecting: 2, Members: 3, StagesMS: []int64{1001, 1010, 1040}}}}
	return map[string]kv.Event{wire.TakeoversKey: {Key: wire.TakeoversKey, Value: record}}, r.err
}

// query returns the status of n0, the leader, and n1, its standby; n2 can't be reached.
func query(_ context.Context, address string, _ time.Duration) (wire.LeadershipStatus, error) {
	status := wire.LeadershipStatus{Leader: "n0", Term: 12, Fenced: true, Streak: 1, Standby: "n1", Revision: 40, Early: true, Agreed: 5, Served: true}
	switch address {
	case "h0:1":
		return status, nil
	case "h1:1":
		status.Revision, status.SilenceMS, status.Suspected, status.Suspecting, status.Served = 37, 1800, true, 1, false
		status.LogHeld, status.LogDropped = 45, 2
		return status, nil
	}
	return wire.LeadershipStatus{}, errors.New("connection refused")
}

var settings = &config.Settings{Label: "n0", ClusterBind: "h0:1", Peers: []config.Peer{{Label: "n1", Address: "h1:1"}, {Label: "n2", Address: "h2:1"}}}

func TestOverviewAsTable(t *testing.T) {
	var out bytes.Buffer
	if err := PrintTable(&out, Read(t.Context(), settings, fakeRecords{}, query)); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	for i, want := range []string{
		"CONTROLLER  ROLE       LEADER  TERM  LAG  SILENCE                  LOG TAKEOVER  FORMAT  FAULT",
		"n0          leads      n0      12    0    -  0 facts behind, begun anew 0 times early     5       ",
		"n1          stands by  n0      12    3    1800 ms, suspected by 1 45 facts, 2 messages dropped early     5       refused by the state service",
		"n2          ?                                                                        connection refused",
		"",
		"TAKEOVER              FROM  TO  SILENCE                     SUSPECTED BY        SUSPECTED  CLAIMED  SEEN     CAUGHT UP  DECIDED",
		"2025-12-02T01:46:40Z  n2    n0  1010 ms, connection broken  2 of 3, 0 hear it  1001 ms    1010 ms  1040 ms  -          -",
	} {
		if i >= len(lines) || strings.Join(strings.Fields(lines[i]), " ") != strings.Join(strings.Fields(want), " ") {
			t.Errorf("line %d is %q, not %q", i, lines[i], want)
		}
	}
}

func TestOverviewAsJSON(t *testing.T) {
	var out bytes.Buffer
	if err := PrintJSON(&out, Read(t.Context(), settings, fakeRecords{}, query)); err != nil {
		t.Fatal(err)
	}
	var got Overview
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Controllers) != 3 || got.Controllers[1].Lag != 3 || got.Controllers[2].QueryError == "" || got.Takeovers[0].From != "n2" {
		t.Errorf("got %+v", got)
	}
}

// When the state service can't be reached, the statuses of the controllers are still shown.
func TestOverviewWithoutStateService(t *testing.T) {
	var out bytes.Buffer
	if err := PrintTable(&out, Read(t.Context(), settings, fakeRecords{errors.New("away")}, query)); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "stands by") || !strings.Contains(out.String(), "the last takeovers can't be read: away") {
		t.Errorf("got\n%s", out.String())
	}
}
