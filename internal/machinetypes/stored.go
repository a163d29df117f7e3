package machinetypes

import (
	"strings"

	"micaport/internal/wire"
)

// storedList is the list in the state service, as the watch has shown it.
type storedList struct {
	head         *wire.MachineTypeHead // nil: absent
	headRevision uint64                // 0: the head is absent
	parts        map[string]storedPart // by key, also those that the head does not name

	record         *wire.MachineTypeCache // nil: absent
	recordRevision uint64                 // 0: the record is absent
}

// storedPart is a part of a list with the revision of its key.
type storedPart struct {
	types    *wire.MachineTypePart
	revision uint64
}

// part returns the part with a key, or nil.
func (s *storedList) part(key string) *wire.MachineTypePart { return s.parts[key].types }

// list returns the stored list and whether it is whole.
func (s *storedList) list() (list List, whole bool) { return Find(s.head, s.record, s.part) }

// PutHead applies the head record of the stored list.
func (c *Catalog) PutHead(head *wire.MachineTypeHead, revision uint64) {
	c.stored.head, c.stored.headRevision = head, revision
	c.storedChanged()
}

// PutPart applies the record of a part of a stored list.
func (c *Catalog) PutPart(key string, part *wire.MachineTypePart, revision uint64) {
	c.stored.parts[key] = storedPart{part, revision}
	c.storedChanged()
}

// PutRecord applies the record of a list that fits one value.
func (c *Catalog) PutRecord(record *wire.MachineTypeCache, revision uint64) {
	c.stored.record, c.stored.recordRevision = record, revision
	c.storedChanged()
}

// Delete applies the deletion of a key. It ignores keys of other records.
func (c *Catalog) Delete(key string) {
	switch {
	case key == wire.MachineTypeHeadKey:
		c.stored.head, c.stored.headRevision = nil, 0
	case key == wire.MachineTypesKey:
		c.stored.record, c.stored.recordRevision = nil, 0
	case strings.HasPrefix(key, wire.MachineTypePartPrefix):
		delete(c.stored.parts, key)
	default:
		return
	}
	c.storedChanged()
}

// DeleteUnlisted applies the deletion of all keys that a full listing of the records does not have.
func (c *Catalog) DeleteUnlisted(listed map[string]bool) {
	for _, key := range []string{wire.MachineTypeHeadKey, wire.MachineTypesKey} {
		if !listed[key] {
			c.Delete(key)
		}
	}
	for key := range c.stored.parts {
		if !listed[key] {
			c.Delete(key)
		}
	}
}

// storedChanged applies a change of the stored list.
func (c *Catalog) storedChanged() {
	c.version++
	c.adoptStored()
}
