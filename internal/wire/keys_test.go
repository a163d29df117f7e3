package wire

import (
	"strings"
	"testing"
)

func TestSplitTaskName(t *testing.T) {
	if jobID, task, err := SplitTaskName("wk-000412/3"); jobID != "wk-000412" || task != 3 || err != nil {
		t.Errorf("got %q, %d, %v", jobID, task, err)
	}
	for _, name := range []string{"wk-1", "wk-1/", "wk-1/x", "wk-1/-2"} {
		if _, _, err := SplitTaskName(name); err == nil {
			t.Errorf("%q is accepted", name)
		}
	}
}

func TestSplitOverflowKey(t *testing.T) {
	if jobID, number := SplitOverflowKey(OverflowKey("wk-000412", 12)); jobID != "wk-000412" || number != 12 {
		t.Errorf("got %s, %d", jobID, number)
	}
}

// The name of a team may contain characters that are not allowed in keys.
func TestAccountKey(t *testing.T) {
	for _, team := range []string{"kota-lama", "a b/c", "100%"} {
		key := AccountKey(team)
		if got := AccountTeam(key); got != team {
			t.Errorf("key %q of team %q is read as %q", key, team, got)
		}
		if strings.Contains(key, " ") {
			t.Errorf("key %q of team %q has a space", key, team)
		}
	}
}

// Versions that support only format 1 skip keys with an unknown prefix. Keys of later formats must
// therefore not begin with a key or prefix of format 1.
func TestLaterKeysAreUnknownToFormat1(t *testing.T) {
	for _, key := range []string{OverflowKey("wk-000412", 1), FormatPrefix + "stanok-0", TakeoversKey} {
		for _, known := range []string{JobPrefix, ShardPrefix, GangPrefix, MailboxPrefix, ImagePrefix, LeaderKey, MachineTypesKey} {
			if strings.HasPrefix(key, known) {
				t.Errorf("key %s begins with %s, which format 1 uses", key, known)
			}
		}
	}
}
