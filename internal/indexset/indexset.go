// Package indexset implements sets of small non-negative integers as bit masks.
package indexset

import "math/bits"

// Set is a set of indices. The zero value is empty.
type Set []uint64

// Has reports whether an index is in the set. A negative index never is.
func (s Set) Has(i int) bool { return i >= 0 && i/64 < len(s) && s[i/64]&(1<<(i%64)) != 0 }

// Add adds an index and reports whether it was not in the set before. It ignores a negative
// index.
func (s *Set) Add(i int) bool {
	if i < 0 || s.Has(i) {
		return false
	}
	for len(*s) <= i/64 {
		*s = append(*s, 0)
	}
	(*s)[i/64] |= 1 << (i % 64)
	return true
}

// Each calls f for each index in the set, in ascending order.
func (s Set) Each(f func(int)) {
	for i, word := range s {
		for ; word != 0; word &= word - 1 {
			f(i*64 + bits.TrailingZeros64(word))
		}
	}
}
