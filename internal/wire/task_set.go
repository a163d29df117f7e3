package wire

import (
	"slices"
	"sort"
)

// TaskRange is a range of consecutive task numbers. It is encoded as [first, end].
type TaskRange struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack   struct{} `msgpack:",as_array"`
	First, End int      // End is exclusive
}

// TaskSet is a set of task numbers, stored as sorted ranges that are neither overlapping nor
// adjacent.
type TaskSet []TaskRange

// TaskSetOfRange returns the set of the tasks from first to end, exclusive.
func TaskSetOfRange(first, end int) TaskSet { return TaskSet{{First: first, End: end}} }

// With returns the set with a task added. Like append, it may modify the receiver's elements.
func (s TaskSet) With(task int) TaskSet {
	i := sort.Search(len(s), func(i int) bool { return s[i].End >= task })
	switch {
	case i < len(s) && s[i].First <= task && task < s[i].End: // already in the set
	case i < len(s) && s[i].End == task:
		s[i].End++
		if i+1 < len(s) && s[i+1].First == task+1 {
			s[i].End = s[i+1].End
			s = slices.Delete(s, i+1, i+2)
		}
	case i < len(s) && s[i].First == task+1:
		s[i].First--
	default:
		s = slices.Insert(s, i, TaskRange{First: task, End: task + 1})
	}
	return s
}

// Has reports whether a task is in the set.
func (s TaskSet) Has(task int) bool {
	i := sort.Search(len(s), func(i int) bool { return s[i].End > task })
	return i < len(s) && s[i].First <= task
}

// Count returns the number of tasks in the set.
func (s TaskSet) Count() int {
	count := 0
	for _, r := range s {
		count += r.End - r.First
	}
	return count
}
