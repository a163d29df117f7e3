package wire

// Interner maps names to dense indices, so that the core works on small
// integers and slices. The zero value is ready for use.
type Interner struct {
	index map[string]int
	names []string
}

// Of returns the index of name, giving it the next one if it is new.
func (t *Interner) Of(name string) int {
	if i, ok := t.index[name]; ok {
		return i
	}
	if t.index == nil {
		t.index = map[string]int{}
	}
	i := len(t.names)
	t.index[name] = i
	t.names = append(t.names, name)
	return i
}

// Find returns the index of name, or -1.
func (t *Interner) Find(name string) int {
	if i, ok := t.index[name]; ok {
		return i
	}
	return -1
}

// Name is the reverse of Of.
func (t *Interner) Name(i int) string { return t.names[i] }

// Len counts the names known.
func (t *Interner) Len() int { return len(t.names) }
