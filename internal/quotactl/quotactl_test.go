package quotactl

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"math"
	"strings"
	"testing"

	"micaport/internal/config"
	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// fakeRecords is an in-memory state service.
type fakeRecords struct {
	records      map[string]kv.Event
	revision     uint64
	beforeCommit func() // called before each commit, to simulate a concurrent change
}

func (r *fakeRecords) write(key string, value wire.Record) {
	r.revision++
	r.records[key] = kv.Event{Key: key, Revision: r.revision, Value: value}
}

func (r *fakeRecords) List(_ context.Context, prefix string) (map[string]kv.Event, error) {
	found := maps.Clone(r.records)
	maps.DeleteFunc(found, func(key string, _ kv.Event) bool { return !strings.HasPrefix(key, prefix) })
	return found, nil
}

var errConflict = errors.New("conflict")

func (r *fakeRecords) Commit(_ context.Context, conditions []kv.Condition, writes []kv.Write) error {
	if r.beforeCommit != nil {
		r.beforeCommit()
	}
	for _, condition := range conditions {
		if r.records[condition.Key].Revision != condition.Revision {
			return errConflict
		}
	}
	for _, write := range writes {
		r.write(write.Key, write.Value)
	}
	return nil
}

// newSite returns a site of two controllers and two teams, and its records.
func newSite() (*fakeRecords, *Site) {
	records := &fakeRecords{records: map[string]kv.Event{}}
	for _, label := range []string{"n0", "n1"} {
		records.write(wire.FormatPrefix+label, &wire.SupportedFormat{Format: wire.FormatTeamAccounts})
	}
	records.write(wire.MachineTypePartKey("7-1", 1), &wire.MachineTypePart{Offered: []wire.MachineType{{Name: "g1", Cores: 8, GPUs: 1}}})
	records.write(wire.MachineTypePartKey("7-1", 2), &wire.MachineTypePart{Offered: []wire.MachineType{{Name: "g2", Cores: 16, GPUs: 2}}})
	records.write(wire.MachineTypeHeadKey, &wire.MachineTypeHead{Generation: "7-1", Parts: 2})
	return records, &Site{
		Shards: ownership.ShardIDs([]string{"a", "b"}, []ownership.Member{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "b"}}), Controllers: []string{"n0", "n1"},
		Teams: []config.Team{{Name: "red", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "blue", GuaranteedGPUs: 4, MaxGPUs: 8}}, MaxTransactionOps: 4, MaxMachines: 6,
	}
}

// pointerTo returns a pointer to a number.
func pointerTo(number float64) *float64 { return &number }

func TestChangesAreMadeTogetherOrNotAtAll(t *testing.T) {
	records, site := newSite()
	changes := []quota.Change{{Team: "red", GPUsLimit: pointerTo(12)}, {Team: "blue", GPUsLimit: pointerTo(6)}}
	if err := Apply(t.Context(), records, site, changes, true); err != nil || len(records.records) != 5 {
		t.Fatalf("check: got error %v and %d records, want 5", err, len(records.records))
	}
	if err := Apply(t.Context(), records, site, changes, false); err != nil {
		t.Fatal(err)
	}
	accounts, err := Read(t.Context(), records, site)
	if err != nil || accounts[0].Limit.GPUs != 12 || accounts[0].Version != 1 || accounts[0].Guarantee.GPUs != 4 || accounts[1].Limit.GPUs != 6 {
		t.Errorf("%+v, %v", accounts, err)
	}
	// Applied again, the changes are based on versions that are no longer current.
	if err := Apply(t.Context(), records, site, changes, false); !errors.Is(err, quota.ErrStaleVersion) {
		t.Errorf("stale change: %v", err)
	}
	records.beforeCommit = func() {
		records.write(wire.AccountKey("red"), &wire.Account{Version: 1, Limit: wire.Resources{GPUs: 9}})
	}
	if err := Apply(t.Context(), records, site, []quota.Change{{Team: "red", Version: 1, GPUsLimit: pointerTo(7)}}, false); !errors.Is(err, errConflict) {
		t.Errorf("concurrent changes: %v", err)
	}
}

func TestViolationsAreReported(t *testing.T) {
	records, site := newSite()
	cases := []struct {
		change quota.Change
		want   error
	}{
		{quota.Change{Team: "green", GPUsLimit: pointerTo(1)}, quota.ErrUnknownTeam},
		{quota.Change{Team: "red"}, quota.ErrNothingToChange},
		{quota.Change{Team: "red", GPUsLimit: pointerTo(-1)}, quota.ErrNegative},
		{quota.Change{Team: "red", GPUsLimit: pointerTo(math.NaN())}, quota.ErrInvalidAmount},
		{quota.Change{Team: "red", GPUsLimit: pointerTo(math.Inf(1))}, quota.ErrInvalidAmount},
		{quota.Change{Team: "red", GPUsLimit: pointerTo(1e300)}, quota.ErrInvalidAmount},
		{quota.Change{Team: "red", GPUsLimit: pointerTo(3)}, quota.ErrGuaranteeExceedsLimit},
		{quota.Change{Team: "red", GPUsGuarantee: pointerTo(9)}, quota.ErrGuaranteeExceedsLimit},
		{quota.Change{Team: "red", Version: 3, GPUsLimit: pointerTo(9)}, quota.ErrStaleVersion},
		{quota.Change{Team: "red", GPUsLimit: pointerTo(20), GPUsGuarantee: pointerTo(9)}, quota.ErrExceedsCapacity},
	}
	for _, test := range cases {
		before := records.revision
		good := quota.Change{Team: "blue", GPUsLimit: pointerTo(7)}
		if err := Apply(t.Context(), records, site, []quota.Change{test.change, good}, false); !errors.Is(err, test.want) || records.revision != before {
			t.Errorf("%+v: %v, want %v and nothing written", test.change, err, test.want)
		}
	}
	records.write(wire.FormatPrefix+"n1", &wire.SupportedFormat{Format: wire.FormatDependencyLists})
	if err := Apply(t.Context(), records, site, []quota.Change{{Team: "red", GPUsLimit: pointerTo(9)}}, false); !errors.Is(err, quota.ErrNotAllUpgraded) {
		t.Errorf("with a controller that does not read accounts: %v", err)
	}
}

// Guards against a capacity that is taken from a list of machine types which may lack some: a change
// was refused although the largest type, cut off the list, has the capacity.
func TestCapacityIsCheckedAgainstAWholeList(t *testing.T) {
	small, large := []wire.MachineType{{Name: "g1", Cores: 8, GPUs: 1}}, []wire.MachineType{{Name: "g2", Cores: 16, GPUs: 2}}
	for name, test := range map[string]struct {
		record *wire.MachineTypeCache // nil: absent
		head   *wire.MachineTypeHead  // nil: absent
		want   error
	}{
		"a record that is whole":                {&wire.MachineTypeCache{Types: small, Whole: true}, nil, quota.ErrExceedsCapacity},
		"a record that may be cut":              {&wire.MachineTypeCache{Types: small}, nil, nil},
		"no record":                             {nil, nil, nil},
		"a whole list beside a cut record":      {&wire.MachineTypeCache{Types: small}, &wire.MachineTypeHead{Generation: "7-1", Parts: 2}, nil},
		"a list of which a part is missing":     {nil, &wire.MachineTypeHead{Generation: "7-1", Parts: 3}, errTypesIncomplete},
		"a list of another generation":          {nil, &wire.MachineTypeHead{Generation: "8-1", Parts: 2}, errTypesIncomplete},
		"a whole list that lacks the large one": {nil, &wire.MachineTypeHead{Generation: "7-1", Parts: 1}, quota.ErrExceedsCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			records, site := newSite()
			delete(records.records, wire.MachineTypeHeadKey)
			records.write(wire.MachineTypePartKey("7-1", 1), &wire.MachineTypePart{Offered: small})
			records.write(wire.MachineTypePartKey("7-1", 2), &wire.MachineTypePart{Offered: large})
			if test.record != nil {
				records.write(wire.MachineTypesKey, test.record)
			}
			if test.head != nil {
				records.write(wire.MachineTypeHeadKey, test.head)
			}
			// 12 GPUs are guaranteed of 6 machines' 12, or 6 if only the small type is known.
			change := quota.Change{Team: "red", GPUsGuarantee: pointerTo(8)}
			if err := Apply(t.Context(), records, site, []quota.Change{change}, true); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestInvalidAccountIsShownAndRepaired(t *testing.T) {
	records, site := newSite()
	records.write(wire.AccountKey("red"), &wire.Account{Unreadable: true})
	accounts, err := Read(t.Context(), records, site)
	if err != nil || accounts[0].Error == "" {
		t.Fatalf("%+v, %v", accounts, err)
	}
	if err := Apply(t.Context(), records, site, []quota.Change{{Team: "red", GPUsLimit: pointerTo(8)}}, false); err != nil {
		t.Fatal(err)
	}
	if accounts, _ = Read(t.Context(), records, site); accounts[0].Error != "" || accounts[0].Limit.GPUs != 8 || accounts[0].Guarantee.GPUs != 4 {
		t.Errorf("%+v", accounts[0])
	}
	// The next change removes the share of a shard that does not exist.
	records.write(wire.AccountKey("red"), &wire.Account{Version: 5, Limit: wire.Resources{GPUs: 8}, Shares: []wire.Share{{Shard: 7, GPUs: 1}}})
	if err := Apply(t.Context(), records, site, []quota.Change{{Team: "red", Version: 5, GPUsLimit: pointerTo(9)}}, false); err != nil {
		t.Fatal(err)
	}
	if accounts, _ = Read(t.Context(), records, site); accounts[0].Error != "" || accounts[0].Limit.GPUs != 9 || len(accounts[0].Shares) != 0 {
		t.Errorf("%+v", accounts[0])
	}
}

func TestUsageIsShownByShard(t *testing.T) {
	records, site := newSite()
	records.write(wire.AccountKey("red"), &wire.Account{Limit: wire.Resources{GPUs: 8}, Shares: []wire.Share{{Shard: 1, GPUs: 3}}})
	records.write(wire.JobKey("wk-1"), &wire.Job{Spec: &wire.JobSpec{ID: "wk-1", Team: "red", GPUs: 1, Cores: 4}, OverflowKeys: 1, ActiveTasks: wire.ActiveTasks{{Task: 0, Attempt: 1}}})
	records.write(wire.OverflowKey("wk-1", 1), &wire.Overflow{ActiveTasks: wire.ActiveTasks{{Task: 1, Attempt: 1, Shard: 1, Admitted: true}}})
	accounts, err := Read(t.Context(), records, site)
	if err != nil {
		t.Fatal(err)
	}
	var text, asJSON bytes.Buffer
	if err := PrintTable(&text, site, accounts); err != nil {
		t.Fatal(err)
	}
	want := `TEAM    VERSION  GUARANTEE  LIMIT   GRANTED          ADMITTED         FAULT
red     0        -          8 GPUs  1 GPUs, 4 cores  1 GPUs, 4 cores  
  b/n1                      3 GPUs                   1 GPUs, 4 cores  
blue    0        4 GPUs     8 GPUs  -                -                
`
	if text.String() != want {
		t.Errorf("got\n%s\nwant\n%s", text.String(), want)
	}
	if err := PrintJSON(&asJSON, accounts); err != nil || !strings.Contains(asJSON.String(), `"team": "red"`) {
		t.Errorf("%s, %v", asJSON.String(), err)
	}
}
