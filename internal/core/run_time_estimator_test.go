package core

import "testing"

// TestRunTimeCorrection: estimates of a class are corrected by the median of what its jobs took, once
// enough of them are done, and never by more than estimates are wrong.
func TestRunTimeCorrection(t *testing.T) {
	var estimator runTimeEstimator
	expect := func(when, class string, want float64) {
		t.Helper()
		if got := estimator.correction(class); got != want {
			t.Errorf("%s: class %s is corrected by %v, want %v", when, class, got, want)
		}
	}
	for range minRunSamples - 1 {
		estimator.observe("c", 20*second, 10)
	}
	expect("after too few jobs", "c", 1)
	estimator.observe("c", 500*second, 10) // one that waited counts no more than others
	expect("after enough jobs", "c", 2)
	for range maxRunSamples {
		estimator.observe("c", second, 10)
		estimator.observe("d", 900*second, 10)
		estimator.observe("daemon", second, 0)
	}
	for class, want := range map[string]float64{"c": minCorrection, "d": maxCorrection, "daemon": 1, "other": 1} {
		expect("after many jobs", class, want)
	}
	if got := len(estimator.ratios["c"]); got != maxRunSamples {
		t.Errorf("%d samples are kept, want %d", got, maxRunSamples)
	}
}
