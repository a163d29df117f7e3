package core

import "math/bits"

// indexSet is a set of small indices.
type indexSet []uint64

func (s indexSet) has(i int) bool { return i >= 0 && i/64 < len(s) && s[i/64]&(1<<(i%64)) != 0 }

// add puts an index in and tells whether it is new.
func (s *indexSet) add(i int) bool {
	if i < 0 || s.has(i) {
		return false
	}
	for len(*s) <= i/64 {
		*s = append(*s, 0)
	}
	(*s)[i/64] |= 1 << (i % 64)
	return true
}

// each calls f with the members in order.
func (s indexSet) each(f func(int)) {
	for w, word := range s {
		for ; word != 0; word &= word - 1 {
			f(w*64 + bits.TrailingZeros64(word))
		}
	}
}
