package core

import "testing"

// TestRunTimeCorrection checks that estimates of a class are corrected by the median ratio of its run
// times to their estimates, once enough jobs are done, and only within the bounds of a correction.
func TestRunTimeCorrection(t *testing.T) {
	var estimator runTimeEstimator
	expect := func(when, class string, want float64) {
		t.Helper()
		if got := estimator.correction(class); got != want {
			t.Errorf("%s: correction of class %s = %v, want %v", when, class, got, want)
		}
	}
	for range minRunSamples - 1 {
		estimator.addSample("c", 20*second, 10)
	}
	expect("after too few jobs", "c", 1)
	estimator.addSample("c", 500*second, 10) // an outlier does not shift the median
	expect("after enough jobs", "c", 2)
	for range maxRunSamples {
		estimator.addSample("c", second, 10)
		estimator.addSample("d", 900*second, 10)
		estimator.addSample("daemon", second, 0)
	}
	for class, want := range map[string]float64{"c": minCorrection, "d": maxCorrection, "daemon": 1, "other": 1} {
		expect("after many jobs", class, want)
	}
	if got := len(estimator.ratios["c"]); got != maxRunSamples {
		t.Errorf("%d samples kept, want %d", got, maxRunSamples)
	}
}
