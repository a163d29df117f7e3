package core

import "testing"

// After a refusal NextWriteRPS is assumed to be in effect, and twice as long after each further
// one.
func TestReducedRate(t *testing.T) {
	cfg := &Config{WriteRPS: 40, NextWriteRPS: 30}
	var budget writeBudget
	expect := func(now Time, want float64) {
		t.Helper()
		if got := budget.serviceRate(now, cfg); got != want {
			t.Errorf("rate at %v = %v, want %v", now, got, want)
		}
	}
	const refusedAt = 100 * second
	expect(refusedAt, 40)
	budget.recordRefusal(refusedAt)
	budget.recordRefusal(refusedAt + second) // a refusal in the same burst does not extend the duration
	expect(refusedAt+minReducedTime-1, 30)
	expect(refusedAt+minReducedTime, 40)
	budget.recordRefusal(refusedAt + minReducedTime)
	expect(refusedAt+3*minReducedTime-1, 30)
	expect(refusedAt+3*minReducedTime, 40)
}

// Scarcity is the greater of the values by backlog and by utilization.
func TestScarcity(t *testing.T) {
	for name, test := range map[string]struct {
		serviceRate, backlogSeconds, writesPerS, want float64
	}{
		"no limit":            {backlogSeconds: 9, writesPerS: 99, want: 0},
		"idle":                {serviceRate: 40, want: 0},
		"a quarter in use":    {serviceRate: 40, writesPerS: 10, want: 0},
		"half in use":         {serviceRate: 40, writesPerS: 20, want: 0.75},
		"nearly all in use":   {serviceRate: 40, writesPerS: 36, want: 1},
		"backlog of a second": {serviceRate: 40, backlogSeconds: 1, want: 0.5},
		"long backlog":        {serviceRate: 40, backlogSeconds: 9, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			budget := writeBudget{backlogSeconds: test.backlogSeconds, writesPerS: test.writesPerS}
			if got := budget.scarcity(test.serviceRate); got != test.want {
				t.Errorf("scarcity = %v, want %v", got, test.want)
			}
		})
	}
}

// Writes are shared in proportion to demand, and no controller gets less than a third of an equal
// share.
func TestWriteShares(t *testing.T) {
	const serviceRate, controllers = 40, 4
	background := serviceRate * maxBackgroundShare
	for name, test := range map[string]struct{ ownDemand, totalDemand, want float64 }{
		"equal demand":  {1, 4, background / 4},
		"most demand":   {7, 10, background * 7 / 10},
		"little demand": {1, 100, background / (minShareDivisor * controllers)},
	} {
		t.Run(name, func(t *testing.T) {
			var budget writeBudget
			budget.updateRate(serviceRate, test.ownDemand, test.totalDemand, controllers)
			if difference := budget.rate - test.want; difference < -epsilon || difference > epsilon {
				t.Errorf("rate = %v, want %v", budget.rate, test.want)
			}
		})
	}
}
