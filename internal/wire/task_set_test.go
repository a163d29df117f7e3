package wire

import "testing"

// Consecutive tasks form a single range once all have been added, in any order.
func TestTaskSet(t *testing.T) {
	var set TaskSet
	order := []int{5, 3, 4, 0, 9, 1, 2, 4, 8, 7, 6}
	for i, task := range order {
		set = set.With(task)
		for k, other := range order {
			if want := k <= i; set.Has(other) != want && !(other == 4) {
				t.Fatalf("after adding %v: Has(%d) is %v in %v", order[:i+1], other, !want, set)
			}
		}
	}
	if len(set) != 1 || set[0] != (TaskRange{First: 0, End: 10}) || set.Count() != 10 {
		t.Errorf("got %v", set)
	}
}
