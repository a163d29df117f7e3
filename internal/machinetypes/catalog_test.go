package machinetypes

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// newLeader returns a catalog and a publisher of a leader that has had a listing.
func newLeader(limits Limits, types ...wire.MachineType) (*Catalog, *Publisher) {
	catalog := New(new(wire.Interner))
	catalog.SetLeading(time.Second, true)
	catalog.PutListing(types, time.Second)
	return catalog, NewPublisher(catalog, limits)
}

// A type whose zones alone are larger than a value is stored in several parts and read as one.
func TestTypeWithManyZonesIsStored(t *testing.T) {
	const maxBytes = 1024
	large := newType(1, 20, 400)
	list := List{Offered: []wire.MachineType{newType(0, 4, 1), large}, Withdrawn: []wire.MachineType{newType(2, 20, 400)}}
	parts, err := list.split(maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	byKey := map[string]*wire.MachineTypePart{}
	for i, part := range parts {
		if size, err := wire.JSONSize(part); err != nil || size > maxBytes {
			t.Errorf("part %d has %d bytes, at most %d are allowed; error %v", i+1, size, maxBytes, err)
		}
		byKey[wire.MachineTypePartKey("7-1", i+1)] = part
	}
	got, whole := assemble(&wire.MachineTypeHead{Generation: "7-1", Parts: len(parts)}, func(key string) *wire.MachineTypePart { return byKey[key] })
	if !whole || !sameOffer(got.Offered, list.Offered) || !sameOffer(got.Withdrawn, list.Withdrawn) {
		t.Errorf("read %d and %d types, whole %v", len(got.Offered), len(got.Withdrawn), whole)
	}
}

// A list that can't be stored is reported again and again, and nothing of it is written.
func TestListThatCannotBeStoredIsReported(t *testing.T) {
	for name, machineType := range map[string]wire.MachineType{
		"a name larger than a value": {Name: strings.Repeat("x", 3000), Zones: []string{"a"}},
		"a number that JSON lacks":   {Name: "g", Cores: math.NaN(), Zones: []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, publisher := newLeader(Limits{ValueBytes: 2048, Writes: 4}, newType(0, 4, 1), machineType)
			reported := 0
			for now := time.Second; now < time.Second+3*errorDelay; now += time.Second {
				transaction, err := publisher.Next(now, Deployment{Term: 7, Revision: 1})
				if transaction != nil {
					t.Fatalf("wrote %+v", transaction.Writes)
				}
				if err != nil {
					reported++
				}
			}
			if reported != 3 {
				t.Errorf("reported %d times in three minutes", reported)
			}
		})
	}
}

// A value limit that falls without an announcement makes the parts smaller.
func TestPartsShrinkWhenRefusedAsTooLarge(t *testing.T) {
	var types []wire.MachineType
	for number := range 40 {
		types = append(types, newType(number, 20, 2))
	}
	_, publisher := newLeader(Limits{ValueBytes: 8192, Writes: 4}, types...)
	now := time.Second
	for range 20 {
		now += retryDelay
		transaction, err := publisher.Next(now, Deployment{Term: 7, Revision: 1})
		if err != nil || transaction == nil {
			t.Fatalf("transaction %v, error %v", transaction, err)
		}
		size, err := wire.JSONSize(transaction.Writes[0].Value)
		if err != nil {
			t.Fatal(err)
		}
		if size <= 1024 {
			return
		}
		publisher.Answered(now, transaction, kv.TooLarge, 0)
	}
	t.Error("no part was made small enough")
}

// An older answer of the cloud does not replace a newer one.
func TestOlderListingIsIgnored(t *testing.T) {
	catalog := New(new(wire.Interner))
	catalog.PutListing([]wire.MachineType{newType(1, 4, 1)}, 10*time.Second)
	catalog.PutListing([]wire.MachineType{newType(2, 4, 1)}, 9*time.Second)
	if !catalog.IsOffered("0001") || catalog.IsOffered("0002") || !catalog.ListedSince(10*time.Second) || catalog.ListedSince(11*time.Second) {
		t.Error("the older listing was applied")
	}
}

// Prices change all the time: they alone cause no write.
func TestPricesAloneAreNotStored(t *testing.T) {
	machineType := newType(1, 4, 1)
	machineType.SpotPricePerHour = 2
	catalog, publisher := newLeader(Limits{ValueBytes: 8192, Writes: 4}, machineType)
	settleAlone(t, catalog, publisher, false)
	machineType.PricePerHour, machineType.SpotPricePerHour = 7, 1.9
	catalog.PutListing([]wire.MachineType{machineType}, time.Hour)
	if transaction, err := publisher.Next(time.Hour, Deployment{Term: 7, Revision: 100}); transaction != nil || err != nil {
		t.Errorf("wrote %+v, %v", transaction, err)
	}
	if got := catalog.At(0).PricePerHour; got != 7 {
		t.Errorf("the price is %v, want the listed one", got)
	}
	machineType.SpotPricePerHour = 0 // no longer offered as a spot machine
	catalog.PutListing([]wire.MachineType{machineType}, time.Hour+1)
	if transaction, err := publisher.Next(time.Hour+1, Deployment{Term: 7, Revision: 100}); transaction == nil || err != nil {
		t.Errorf("nothing was written, %v", err)
	}
}

// settleAlone carries out all transactions of a publisher and returns their number.
func settleAlone(t *testing.T, catalog *Catalog, publisher *Publisher, upgraded bool) int {
	t.Helper()
	c := &controller{catalog: catalog}
	for count := range 100 {
		revision := uint64(count + 1)
		transaction, err := publisher.Next(time.Hour, Deployment{7, revision, upgraded})
		if err != nil {
			t.Fatal(err)
		}
		if transaction == nil {
			return count
		}
		for _, write := range transaction.Writes {
			c.apply(event{write.Key, write.Value, revision})
		}
		publisher.Answered(time.Hour, transaction, kv.OK, revision)
	}
	t.Fatal("the publisher writes without end")
	return 0
}

// Earlier versions take the record for all types, so it holds all of them or is absent.
func TestEarlierVersionsReadAWholeListOrNone(t *testing.T) {
	var types []wire.MachineType
	for number := range 20 {
		types = append(types, newType(number, 20, 2))
	}
	for name, test := range map[string]struct {
		types  []wire.MachineType
		limits Limits
		stored bool
	}{
		"a list that fits":                     {types[:2], Limits{ValueBytes: 2048, Writes: 4}, true},
		"a list that fits the present limit":   {types, Limits{ValueBytes: 2048, CurrentValueBytes: 8192, Writes: 4}, true},
		"a list that does not fit":             {types, Limits{ValueBytes: 2048, Writes: 4}, false},
		"the same after the upgrade":           {types, Limits{ValueBytes: 2048, CurrentValueBytes: 8192, Writes: 4}, false},
		"a list that never fits":               {types, Limits{ValueBytes: 1024, CurrentValueBytes: 2048, Writes: 4}, false},
		"a cut list of an earlier version":     {types, Limits{ValueBytes: 2048, Writes: 4}, false},
		"a whole list of an earlier version":   {types, Limits{ValueBytes: 2048, Writes: 4}, true},
		"an old list of an earlier version":    {types[:3], Limits{ValueBytes: 2048, Writes: 4}, true},
		"a cut list while the whole would fit": {types, Limits{ValueBytes: 8192, Writes: 4}, true},
	} {
		t.Run(name, func(t *testing.T) {
			catalog, publisher := newLeader(test.limits, test.types...)
			switch {
			case strings.Contains(name, "whole list of"):
				catalog.PutRecord(&wire.MachineTypeCache{Types: types}, 1)
			case strings.Contains(name, "list of an") || strings.HasPrefix(name, "a cut"):
				catalog.PutRecord(&wire.MachineTypeCache{Types: types[1:3]}, 1)
			}
			settleAlone(t, catalog, publisher, strings.HasSuffix(name, "after the upgrade"))
			record := catalog.stored.record
			if stored := record != nil; stored != test.stored {
				t.Fatalf("the record that earlier versions read is stored: %v, want %v", stored, test.stored)
			}
			if record != nil && !sameOffer(record.Types, test.types) {
				t.Errorf("it has %d types, want %d", len(record.Types), len(test.types))
			}
		})
	}
}

// A list that has come to fit one record, as the limits were raised, replaces the head in one
// transaction: a controller that sees the records between two has one whole list, never two.
func TestListMovesIntoOneRecord(t *testing.T) {
	var types []wire.MachineType
	for number := range 20 {
		types = append(types, newType(number, 20, 2))
	}
	catalog, publisher := newLeader(Limits{ValueBytes: 2048, Writes: 4}, types...)
	settleAlone(t, catalog, publisher, true)
	if catalog.stored.head == nil || catalog.stored.record != nil {
		t.Fatalf("head %+v, record %+v, want a head alone", catalog.stored.head, catalog.stored.record)
	}
	types[3].Cores++
	catalog.PutListing(types, time.Minute)
	raised := NewPublisher(catalog, Limits{ValueBytes: 8192, Writes: 4})
	transaction, err := raised.Next(time.Minute, Deployment{Term: 8, Revision: 100})
	if err != nil || len(transaction.Writes) != 2 || transaction.Writes[0].Key != wire.MachineTypesKey ||
		transaction.Writes[1].Key != wire.MachineTypeHeadKey || transaction.Writes[1].Value != nil {
		t.Fatalf("got %+v, %v, want the record written and the head deleted", transaction, err)
	}
	raised.Answered(time.Minute, transaction, kv.Refused, 0)
	settleAlone(t, catalog, raised, true)
	if catalog.stored.head != nil || !catalog.stored.record.Whole || len(catalog.stored.parts) != 0 {
		t.Errorf("head %+v, %d parts, want a whole record alone", catalog.stored.head, len(catalog.stored.parts))
	}
}

func TestSplitTypeReportsItsError(t *testing.T) {
	if _, err := splitType(wire.MachineType{Name: strings.Repeat("x", 600), Zones: []string{"a", "b"}}, 512); !errors.Is(err, ErrTypeTooLarge) {
		t.Errorf("got %v, want ErrTypeTooLarge", err)
	}
}
