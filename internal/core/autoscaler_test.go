package core

import (
	"slices"
	"testing"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// TestOverdue checks when a machine is late and when it is abandoned. Both limits depend on the
// boot time of its type and on the recent boots, and are longer unless a machine that was
// provisioned with it or after it is up.
func TestOverdue(t *testing.T) {
	const bootS = 10
	machineType := &wire.MachineType{Name: "g", BootS: bootS}
	const provisionedAt = 100 * second
	usual := bootRecord{provisionedAt: provisionedAt, ratio: 1}
	slow := bootRecord{provisionedAt: provisionedAt, ratio: 3} // twice the usual spread
	earlier := bootRecord{provisionedAt: provisionedAt - 2*second, ratio: 1}
	for name, test := range map[string]struct {
		boots           []bootRecord
		age             Time
		late, abandoned bool
	}{
		"usual":                      {boots: []bootRecord{usual}, age: 18 * second},
		"late":                       {boots: []bootRecord{usual}, age: 20 * second, late: true},
		"abandoned":                  {boots: []bootRecord{usual}, age: 26 * second, late: true, abandoned: true},
		"others are slow":            {boots: []bootRecord{slow}, age: 34 * second},
		"late while others are slow": {boots: []bootRecord{slow}, age: 36 * second, late: true},
		"no boot seen":               {age: 34 * second},
		"late, no boot seen":         {age: 36 * second, late: true},
		"abandoned, no boot seen":    {age: 86 * second, late: true, abandoned: true},
		"only an earlier boot":       {boots: []bootRecord{earlier}, age: 36 * second, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			scaler := &autoscaler{recentBoots: test.boots}
			if late, abandoned := scaler.overdue(provisionedAt+test.age, machineType, provisionedAt); late != test.late || abandoned != test.abandoned {
				t.Errorf("overdue = %v, %v, want %v, %v", late, abandoned, test.late, test.abandoned)
			}
		})
	}
}

// TestApplyProvisionAnswer checks that a request is closed by an answer with a known outcome, and
// repeated under the same name for a limited time while its outcome is unknown.
func TestApplyProvisionAnswer(t *testing.T) {
	const now = 100 * second
	pool := machinePool{spot: true}
	for name, test := range map[string]struct {
		answer    CloudAnswered
		decidedAt Time
		open      bool
		booting   int
		retryAt   Time
		short     bool
	}{
		"all machines":     {answer: CloudAnswered{Outcome: kv.OK, Names: []string{"vm-1", "vm-2"}}, decidedAt: now, booting: 2},
		"some machines":    {answer: CloudAnswered{Outcome: kv.OK, Names: []string{"vm-1"}}, decidedAt: now, booting: 1, retryAt: now + noCapacityDelay, short: true},
		"no capacity":      {answer: CloudAnswered{Outcome: kv.NoCapacity}, decidedAt: now, retryAt: now + noCapacityDelay, short: true},
		"refused":          {answer: CloudAnswered{Outcome: kv.Refused}, decidedAt: now, retryAt: now + refusedDelay},
		"unknown":          {answer: CloudAnswered{Outcome: kv.Unknown}, decidedAt: now, open: true},
		"unknown for long": {answer: CloudAnswered{Outcome: kv.Unknown}, decidedAt: now - provisionRetryPeriod - 1},
	} {
		t.Run(name, func(t *testing.T) {
			request := &pendingProvision{pool: pool, request: wire.ProvisionRequest{Name: "r-1-1", Count: 2}, callInProgress: true, decidedAt: test.decidedAt}
			scaler := newAutoscaler()
			scaler.pendingProvisions = []*pendingProvision{request}
			scaler.applyProvisionAnswer(now, request, test.answer)
			if open := len(scaler.pendingProvisions) == 1; open != test.open {
				t.Errorf("open = %v, want %v", open, test.open)
			}
			if test.open && (request.callInProgress || request.sendAt != now+provisionRetryDelay) {
				t.Errorf("callInProgress = %v, sendAt = %v, want no call in progress and sendAt = %v", request.callInProgress, request.sendAt, now+provisionRetryDelay)
			}
			if len(scaler.booting) != test.booting {
				t.Errorf("%d machines booting, want %d", len(scaler.booting), test.booting)
			}
			if got := scaler.retryAt[pool]; got != test.retryAt {
				t.Errorf("retryAt = %v, want %v", got, test.retryAt)
			}
			if short := scaler.hasShortage(now, pool); short != test.short {
				t.Errorf("shortage = %v, want %v", short, test.short)
			}
		})
	}
}

// TestDrainedMachines checks that only machines that their owners have drained, or from which no
// controller receives reports, are deprovisioned.
func TestDrainedMachines(t *testing.T) {
	n := newTestNode()
	scaler := newAutoscaler()
	for name, prepare := range map[string]func(*machine){
		"vm-busy":          func(m *machine) { m.draining, m.placements = true, []placement{{}} },
		"vm-drained":       func(m *machine) { m.draining = true },
		"vm-not-yet":       func(*machine) {},
		"vm-deprovisioned": func(m *machine) { m.deprovisioned = true },
		"vm-unreachable":   func(m *machine) { m.view.unreachable, m.placements = true, []placement{{}} },
		"vm-silent":        func(m *machine) { m.view.reportedByOwner = false },
	} {
		machine := n.getOrAddMachine(name)
		machine.view.reportedByOwner = true
		prepare(machine)
		scaler.markedForDraining[name] = true
	}
	scaler.markedForDraining["vm-unknown"] = true
	if got, want := scaler.drainedMachines(&n.site), []string{"vm-drained", "vm-silent", "vm-unknown", "vm-unreachable"}; !slices.Equal(got, want) {
		t.Errorf("drainedMachines = %v, want %v", got, want)
	}
	if scaler.markedForDraining["vm-deprovisioned"] {
		t.Error("a machine that has been deprovisioned is still marked for draining")
	}
}
