package core

import (
	"fmt"
	"slices"
	"testing"

	"micaport/internal/wire"
)

// Guards against a list of machines to drain that was cut to the size of a mailbox message and read
// as if it were whole: the owner placed tasks again on machines that the leader was about to
// deprovision.
func TestCutListStopsNoDraining(t *testing.T) {
	var names []string
	for i := range maxMailboxNames + 10 {
		names = append(names, fmt.Sprintf("vm-%06d", i))
	}
	last := names[len(names)-1]
	for name, test := range map[string]struct {
		listed   []string
		draining bool
	}{
		"all machines fit":                   {names[:maxMailboxNames], false},
		"the list is cut":                    {names, true},
		"no machine is to be drained at all": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := newFailoverHarness(t)
			term := m.applyLeaderRecord("n2", "z", false, 0)
			m.advance(second, term)
			machine := m.node.getOrAddMachine(last)
			machine.draining = true
			m.node.drainingMachines = []int{machine.index}
			message := wire.Gossip{From: "n2", Life: "z", UpS: m.now.Seconds(), StoreOK: true, Retire: test.listed}
			sent := m.node.mailboxMessage(message, 0)
			if slices.Contains(sent.Retire, last) {
				t.Fatal("the machine is in the list")
			}
			m.step(GossipReceived{Message: sent})
			if machine.draining != test.draining {
				t.Errorf("draining = %v with %d of %d names, want %v", machine.draining, len(sent.Retire), len(test.listed), test.draining)
			}
		})
	}
}
