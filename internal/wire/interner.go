package wire

// Interner maps names to consecutive indices, starting at 0, so that lookups by name are needed
// only where messages are decoded and encoded. The zero value is ready for use.
type Interner struct {
	index map[string]int
	names []string
}

// Intern returns the index of a name, assigning the next one if the name is new.
func (n *Interner) Intern(name string) int {
	if i, known := n.index[name]; known {
		return i
	}
	if n.index == nil {
		n.index = map[string]int{}
	}
	i := len(n.names)
	n.index[name] = i
	n.names = append(n.names, name)
	return i
}

// Find returns the index of a name, or -1 if the name has none.
func (n *Interner) Find(name string) int {
	if i, known := n.index[name]; known {
		return i
	}
	return -1
}

// Name returns the name with an index. It panics if no name has the index.
func (n *Interner) Name(i int) string { return n.names[i] }

// Len returns the number of names.
func (n *Interner) Len() int { return len(n.names) }
