package quotactl

import (
	"bytes"
	"errors"
	"maps"
	"math"
	"strings"
	"testing"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// storeStub is a state service in memory.
type storeStub struct {
	records map[string]core.Event
	rev     uint64
	race    func() // what others do between our reading and our writing
}

func (s *storeStub) put(key string, value wire.Record) {
	s.rev++
	s.records[key] = core.Event{Key: key, Revision: s.rev, Value: value}
}

func (s *storeStub) List(prefix string) (map[string]core.Event, error) {
	found := maps.Clone(s.records)
	maps.DeleteFunc(found, func(key string, _ core.Event) bool { return !strings.HasPrefix(key, prefix) })
	return found, nil
}

var errConflict = errors.New("conflict")

func (s *storeStub) Commit(conds []core.Condition, writes []core.Write) error {
	if s.race != nil {
		s.race()
	}
	for _, c := range conds {
		if s.records[c.Key].Revision != c.Revision {
			return errConflict
		}
	}
	for _, w := range writes {
		s.put(w.Key, w.Value)
	}
	return nil
}

func newSite() (*storeStub, *Site) {
	s := &storeStub{records: map[string]core.Event{}}
	for _, label := range []string{"n0", "n1"} {
		s.put(wire.FormatPrefix+label, &wire.SupportedFormat{Format: wire.FormatTeamAccounts})
	}
	s.put(wire.MachineTypesKey, &wire.MachineTypeCache{Types: []wire.MachineType{{Name: "g2", Cores: 16, GPUs: 2}}})
	return s, &Site{
		Shards: core.Shards([]string{"a", "b"}, []core.Member{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "b"}}), Controllers: []string{"n0", "n1"},
		Teams: []config.Team{{Name: "red", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "blue", GuaranteedGPUs: 4, MaxGPUs: 8}}, TxnOps: 4, MaxMachines: 6,
	}
}

func number(x float64) *float64 { return &x }

func TestChangesAreMadeTogetherOrNotAtAll(t *testing.T) {
	s, site := newSite()
	changes := []quota.Change{{Team: "red", GPUsLimit: number(12)}, {Team: "blue", GPUsLimit: number(6)}}
	if err := Apply(s, site, changes, true); err != nil || len(s.records) != 3 {
		t.Fatalf("a check wrote something, or failed: %v", err)
	}
	if err := Apply(s, site, changes, false); err != nil {
		t.Fatal(err)
	}
	accounts, err := Read(s, site)
	if err != nil || accounts[0].Limit.GPUs != 12 || accounts[0].Version != 1 || accounts[0].Guarantee.GPUs != 4 || accounts[1].Limit.GPUs != 6 {
		t.Errorf("%+v, %v", accounts, err)
	}
	// The same again is based on a version that is no longer there.
	if err := Apply(s, site, changes, false); !errors.Is(err, quota.ErrStaleVersion) {
		t.Errorf("a stale change: %v", err)
	}
	s.race = func() { s.put(wire.AccountKey("red"), &wire.Account{Version: 1, Limit: wire.Resources{GPUs: 9}}) }
	if err := Apply(s, site, []quota.Change{{Team: "red", Version: 1, GPUsLimit: number(7)}}, false); !errors.Is(err, errConflict) {
		t.Errorf("two changes at once: %v", err)
	}
}

func TestFaultyChangesAreNamed(t *testing.T) {
	s, site := newSite()
	cases := []struct {
		change quota.Change
		want   error
	}{
		{quota.Change{Team: "green", GPUsLimit: number(1)}, quota.ErrUnknownTeam},
		{quota.Change{Team: "red"}, quota.ErrNothingToChange},
		{quota.Change{Team: "red", GPUsLimit: number(-1)}, quota.ErrNegative},
		{quota.Change{Team: "red", GPUsLimit: number(math.NaN())}, quota.ErrNotANumber},
		{quota.Change{Team: "red", GPUsLimit: number(math.Inf(1))}, quota.ErrNotANumber},
		{quota.Change{Team: "red", GPUsLimit: number(1e300)}, quota.ErrNotANumber},
		{quota.Change{Team: "red", GPUsLimit: number(3)}, quota.ErrGuarantee},
		{quota.Change{Team: "red", GPUsGuarantee: number(9)}, quota.ErrGuarantee},
		{quota.Change{Team: "red", Version: 3, GPUsLimit: number(9)}, quota.ErrStaleVersion},
		{quota.Change{Team: "red", GPUsLimit: number(20), GPUsGuarantee: number(9)}, quota.ErrBeyondTheSite},
	}
	for _, c := range cases {
		before := s.rev
		good := quota.Change{Team: "blue", GPUsLimit: number(7)}
		if err := Apply(s, site, []quota.Change{c.change, good}, false); !errors.Is(err, c.want) || s.rev != before {
			t.Errorf("%+v: %v, want %v and nothing written", c.change, err, c.want)
		}
	}
	s.put(wire.FormatPrefix+"n1", &wire.SupportedFormat{Format: wire.FormatDependencyLists})
	if err := Apply(s, site, []quota.Change{{Team: "red", GPUsLimit: number(9)}}, false); !errors.Is(err, quota.ErrNotAllUpgraded) {
		t.Errorf("a controller that does not read accounts: %v", err)
	}
}

func TestADamagedAccountIsShownAndRepaired(t *testing.T) {
	s, site := newSite()
	s.put(wire.AccountKey("red"), &wire.Account{Unreadable: true})
	accounts, err := Read(s, site)
	if err != nil || accounts[0].Error == "" {
		t.Fatalf("%+v, %v", accounts, err)
	}
	if err := Apply(s, site, []quota.Change{{Team: "red", GPUsLimit: number(8)}}, false); err != nil {
		t.Fatal(err)
	}
	if accounts, _ = Read(s, site); accounts[0].Error != "" || accounts[0].Limit.GPUs != 8 || accounts[0].Guarantee.GPUs != 4 {
		t.Errorf("%+v", accounts[0])
	}
	// A share of a shard that does not exist goes with the next change.
	s.put(wire.AccountKey("red"), &wire.Account{Version: 5, Limit: wire.Resources{GPUs: 8}, Shares: []wire.Share{{Shard: 7, GPUs: 1}}})
	if err := Apply(s, site, []quota.Change{{Team: "red", Version: 5, GPUsLimit: number(9)}}, false); err != nil {
		t.Fatal(err)
	}
	if accounts, _ = Read(s, site); accounts[0].Error != "" || accounts[0].Limit.GPUs != 9 || len(accounts[0].Shares) != 0 {
		t.Errorf("%+v", accounts[0])
	}
}

func TestUseIsShownByPart(t *testing.T) {
	s, site := newSite()
	s.put(wire.AccountKey("red"), &wire.Account{Limit: wire.Resources{GPUs: 8}, Shares: []wire.Share{{Shard: 1, GPUs: 3}}})
	s.put(wire.JobKey("wk-1"), &wire.Job{Spec: &wire.JobSpec{ID: "wk-1", Team: "red", GPUs: 1, Cores: 4}, OverflowKeys: 1, ActiveTasks: wire.ActiveTasks{{Task: 0, Attempt: 1}}})
	s.put(wire.OverflowKey("wk-1", 1), &wire.Overflow{ActiveTasks: wire.ActiveTasks{{Task: 1, Attempt: 1, Shard: 1, Admitted: true}}})
	accounts, err := Read(s, site)
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
