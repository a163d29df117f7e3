package wire

import (
	"fmt"
	"strings"
)

// Record is a value that the controllers store in the state service. It is a pointer to one of the
// types that DecodeRecord returns.
type Record interface{ record() }

func (*Job) record()              {}
func (*Overflow) record()         {}
func (*DependencyList) record()   {}
func (*Shard) record()            {}
func (*Leader) record()           {}
func (*Gang) record()             {}
func (*ImageCache) record()       {}
func (*MachineTypeCache) record() {}
func (*MachineTypeHead) record()  {}
func (*MachineTypePart) record()  {}
func (*Gossip) record()           {}
func (*SupportedFormat) record()  {}
func (*Account) record()          {}
func (*Takeovers) record()        {}

// constructorsByPrefix and constructorsByKey have the constructors of empty records: the former for
// kinds of records with many keys, the latter for those with a single key.
var (
	constructorsByPrefix = []struct {
		prefix    string
		newRecord func() Record
	}{
		{JobPrefix, func() Record { return new(Job) }},
		{OverflowPrefix, func() Record { return new(Overflow) }},
		{DependencyListPrefix, func() Record { return new(DependencyList) }},
		{ShardPrefix, func() Record { return new(Shard) }},
		{GangPrefix, func() Record { return new(Gang) }},
		{MailboxPrefix, func() Record { return new(Gossip) }},
		{ImagePrefix, func() Record { return new(ImageCache) }},
		{FormatPrefix, func() Record { return new(SupportedFormat) }},
		{AccountPrefix, func() Record { return new(Account) }},
		{MachineTypePartPrefix, func() Record { return new(MachineTypePart) }},
	}
	constructorsByKey = map[string]func() Record{
		LeaderKey:          func() Record { return new(Leader) },
		TakeoversKey:       func() Record { return new(Takeovers) },
		MachineTypesKey:    func() Record { return new(MachineTypeCache) },
		MachineTypeHeadKey: func() Record { return new(MachineTypeHead) },
	}
)

// newRecordForKey returns an empty record of the type that a key holds, or nil if this version does
// not define the key.
func newRecordForKey(key string) Record {
	for _, kind := range constructorsByPrefix {
		if strings.HasPrefix(key, kind.prefix) {
			return kind.newRecord()
		}
	}
	if newRecord, known := constructorsByKey[key]; known {
		return newRecord()
	}
	return nil
}

// DecodeRecord decodes the record of a key. It returns nil without an error for an unknown key, such
// as that of a later version. For a damaged account it returns an account marked as unreadable
// instead of an error: the account may have shares, which must not be treated as free.
func DecodeRecord(key string, raw []byte) (Record, error) {
	record := newRecordForKey(key)
	if record == nil {
		return nil, nil
	}
	err := Decode(raw, record)
	if job, isJob := record.(*Job); isJob && err == nil {
		err = job.checkCounts()
	}
	if err == nil {
		return record, nil
	}
	if _, isAccount := record.(*Account); isAccount {
		return &Account{Unreadable: true}, nil
	}
	return nil, fmt.Errorf("record %s: %w", key, err)
}

// Shard is the record of a shard's ownership. The owner's term, which is its fencing token, is
// the revision at which the record was written.
type Shard struct {
	Owner       string `msgpack:"o"` // name of the controller
	Incarnation string `msgpack:"b"` // identifies the owning process among all processes of that controller
}

// GangState is the state of a gang's record.
type GangState int

// States of a gang's record. Their numbers are stored.
const (
	GangTrying    GangState = 0 // the owners of the shards are requested to hold capacity for the attempt
	GangConfirmed GangState = 1 // the tasks of the attempt start
	GangDropped   GangState = 2 // the attempt is abandoned
)

// Gang is the record of an attempt to start a gang whose tasks are placed in several shards.
type Gang struct {
	Attempt uint64    `msgpack:"t"`
	State   GangState `msgpack:"st"`
	Shards  []int     `msgpack:"p"` // indices of the shards in which tasks are placed
}

// ImageCache is the record of the images that the machines in a controller's shards have cached.
// A new process of the controller reads it when it starts.
type ImageCache struct {
	Names    []string         `msgpack:"n"` // names of the images
	Machines map[string][]int `msgpack:"h"` // indices into Names, by machine
}

// MachineTypeCache is the record of the machine types that the cloud offered last, if they fit a
// value. Versions before MachineTypeHead know only this record and the field Types. They take it for
// all types on offer, but cut it to the size of a value when they write it.
type MachineTypeCache struct {
	Types     []MachineType `msgpack:"r"`
	Withdrawn []MachineType `msgpack:"w,omitempty"` // no longer offered; machines of these types may still run
	Whole     bool          `msgpack:"c,omitempty"` // the record holds all types; false: it may lack some
}

// MachineTypeHead is the record that names the parts of a list of machine types that does not fit a
// value. It is written after all of them; the list is whole only with all of them. While it exists,
// no MachineTypeCache is marked as whole.
type MachineTypeHead struct {
	Generation string `msgpack:"g"` // in the keys of the parts; never used for another list
	Parts      int    `msgpack:"n"` // number of parts
}

// MachineTypePart is a part of a list of machine types. A type with many zones may be in several
// parts, each with some of the zones.
type MachineTypePart struct {
	Offered   []MachineType `msgpack:"r"`
	Withdrawn []MachineType `msgpack:"w,omitempty"` // no longer offered; machines of these types may still run
}
