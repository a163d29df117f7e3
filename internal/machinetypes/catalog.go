// Package machinetypes holds what a controller knows of the machine types of the cloud, and plans
// the writes that store the list of them in the state service. It performs no I/O.
//
// The cloud's own listings are the only authority on what is on offer. The leader fetches one
// regularly and stores it: in one record that is marked as whole (wire.MachineTypeCache) or, where it
// does not fit, over as many keys as it takes, named by a head record that is written last
// (wire.MachineTypeHead). Other controllers use the stored list for the capacity of machines and
// to accept jobs. That a type is not on offer follows from neither a missing, a partial nor an old
// list, only from a listing that the cloud has just made; see Catalog.ListedSince.
//
// A type that is no longer offered stays known, as machines of it may still run.
package machinetypes

import (
	"iter"
	"slices"
	"time"

	"micaport/internal/wire"
)

// Time is a reading of the process's monotonic clock: the time since the process started.
type Time = time.Duration

// Catalog is a controller's knowledge of the machine types.
type Catalog struct {
	names   *wire.Interner
	types   []*wire.MachineType // by index of the name; nil: not known
	offered []bool              // by index of the name

	listing  []wire.MachineType // the cloud's last listing to this controller; nil: none
	listedAt Time               // when the call that it answers was sent
	complete bool               // offered was taken from a listing or a whole stored list
	stored   storedList

	leading      bool // this controller is the leader
	leadingSince Time
	version      uint64 // increased by every change that may require a write
}

// New returns a catalog without types. Indices of types are those of their names in names.
func New(names *wire.Interner) *Catalog {
	return &Catalog{names: names, stored: storedList{parts: map[string]storedPart{}}}
}

// At returns the machine type with an index, which may no longer be on offer, or nil if it is not
// known.
func (c *Catalog) At(index int) *wire.MachineType {
	if index < 0 || index >= len(c.types) {
		return nil
	}
	return c.types[index]
}

// Offered returns the machine types that are on offer as far as the controller knows, in the order
// of their indices.
func (c *Catalog) Offered() iter.Seq2[int, *wire.MachineType] {
	return func(yield func(int, *wire.MachineType) bool) {
		for index, offered := range c.offered {
			if offered && !yield(index, c.types[index]) {
				return
			}
		}
	}
}

// IsOffered reports whether the machine type with a name is on offer as far as the controller knows.
func (c *Catalog) IsOffered(name string) bool {
	index := c.names.Find(name)
	return index >= 0 && index < len(c.offered) && c.offered[index]
}

// OfferedCount returns the number of machine types that are on offer as far as the controller knows.
func (c *Catalog) OfferedCount() int {
	count := 0
	for range c.Offered() {
		count++
	}
	return count
}

// Complete reports whether the controller has had a list of all machine types on offer: a listing of
// the cloud or a whole stored list. The list may be old.
func (c *Catalog) Complete() bool { return c.complete }

// ListedSince reports whether the cloud has listed its machine types in answer to a call that this
// controller sent at a time or later. Only then is a type that is not on offer known to be so.
func (c *Catalog) ListedSince(at Time) bool { return c.listing != nil && c.listedAt >= at }

// PutListing applies a listing of the cloud, the answer to a call that was sent at a time. An answer
// that is older than the last one is ignored.
func (c *Catalog) PutListing(types []wire.MachineType, sentAt Time) {
	if c.listing != nil && sentAt < c.listedAt {
		return
	}
	types = mergeByName(types)
	if !sameOffer(c.listing, types) {
		c.version++
	}
	c.listing, c.listedAt = types, sentAt
	c.replaceOffer(types)
}

// SetLeading records whether this controller is the leader. The stored list does not change the
// catalog of a leader that has had a listing since it became the leader: that listing is newer.
func (c *Catalog) SetLeading(now Time, leading bool) {
	if leading == c.leading {
		return
	}
	c.leading, c.leadingSince = leading, now
	c.version++
	c.adoptStored()
}

// isAuthoritative reports whether this controller's listing is newer than any stored list.
func (c *Catalog) isAuthoritative() bool { return c.leading && c.ListedSince(c.leadingSince) }

// replaceOffer makes exactly the given types those on offer.
func (c *Catalog) replaceOffer(types []wire.MachineType) {
	clear(c.offered)
	for i := range types {
		index := c.put(&types[i])
		c.offered[index] = true
	}
	c.complete = true
}

// put records what is known of a type and returns its index.
func (c *Catalog) put(machineType *wire.MachineType) int {
	index := c.names.Intern(machineType.Name)
	for len(c.types) <= index {
		c.types, c.offered = append(c.types, nil), append(c.offered, false)
	}
	c.types[index] = machineType
	return index
}

// adoptStored applies the stored list, unless this controller's listing is newer. A record that is
// not marked as whole may have been cut to the size of a value, so it only adds types.
func (c *Catalog) adoptStored() {
	if c.isAuthoritative() {
		return
	}
	list, whole := c.stored.list()
	if !whole {
		c.addPartial()
		return
	}
	c.replaceOffer(list.Offered)
	for i := range list.Withdrawn {
		c.put(&list.Withdrawn[i])
	}
}

// addPartial adds the types of a record that is not marked as whole and that are not known yet.
func (c *Catalog) addPartial() {
	if c.stored.record == nil {
		return
	}
	types := c.stored.record.Types
	for i := range types {
		if c.At(c.names.Find(types[i].Name)) == nil {
			index := c.put(&types[i])
			c.offered[index] = true
		}
	}
}

// desired returns the list to be stored: the last listing, and the types that it no longer has.
func (c *Catalog) desired() List {
	desired := List{Offered: c.listing}
	for index, machineType := range c.types {
		if machineType != nil && !c.offered[index] {
			desired.Withdrawn = append(desired.Withdrawn, *machineType)
		}
	}
	return desired
}

// mergeByName returns the types with those of the same name merged into one that is offered in the
// zones of all.
func mergeByName(types []wire.MachineType) []wire.MachineType {
	merged := make([]wire.MachineType, 0, len(types))
	for _, machineType := range types {
		at := slices.IndexFunc(merged, func(other wire.MachineType) bool { return other.Name == machineType.Name })
		if at < 0 {
			machineType.Zones = slices.Clone(machineType.Zones)
			merged = append(merged, machineType)
			continue
		}
		for _, zone := range machineType.Zones {
			if !slices.Contains(merged[at].Zones, zone) {
				merged[at].Zones = append(merged[at].Zones, zone)
			}
		}
	}
	return merged
}

// sameOffer reports whether two lists have the same types, apart from their order and prices. Prices
// change all the time and are stored only together with another change.
func sameOffer(a, b []wire.MachineType) bool {
	if len(a) != len(b) {
		return false
	}
	byName := make(map[string]*wire.MachineType, len(a))
	for i := range a {
		byName[a[i].Name] = &a[i]
	}
	for i := range b {
		if other := byName[b[i].Name]; other == nil || !sameType(other, &b[i]) {
			return false
		}
	}
	return true
}

// sameType reports whether two types are the same, apart from their prices and the order of zones.
func sameType(a, b *wire.MachineType) bool {
	hasSpot := func(t *wire.MachineType) bool { return t.SpotPricePerHour > 0 }
	return a.Name == b.Name && a.Cores == b.Cores && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB &&
		a.ImageCacheGB == b.ImageCacheGB && a.FetchGBs == b.FetchGBs && a.BootS == b.BootS &&
		hasSpot(a) == hasSpot(b) && slices.Equal(sortedZones(a), sortedZones(b))
}

// sortedZones returns the zones of a type in alphabetical order.
func sortedZones(machineType *wire.MachineType) []string {
	return slices.Sorted(slices.Values(machineType.Zones))
}
