package wire

import (
	"fmt"
	"strings"
)

// Record is a value that the controllers keep in the state service: a pointer to one of the
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
func (*Gossip) record()           {}
func (*SupportedFormat) record()  {}
func (*Account) record()          {}
func (*Takeovers) record()        {}

// recordsByPrefix makes the empty record of a key with a prefix, recordsByKey that of a key
// that occurs once.
var (
	recordsByPrefix = []struct {
		prefix string
		empty  func() Record
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
	}
	recordsByKey = map[string]func() Record{
		LeaderKey:       func() Record { return new(Leader) },
		TakeoversKey:    func() Record { return new(Takeovers) },
		MachineTypesKey: func() Record { return new(MachineTypeCache) },
	}
)

// emptyRecord makes the record that a key holds; nil if no version up to this one has such a
// key.
func emptyRecord(key string) Record {
	for _, kind := range recordsByPrefix {
		if strings.HasPrefix(key, kind.prefix) {
			return kind.empty()
		}
	}
	if empty, known := recordsByKey[key]; known {
		return empty()
	}
	return nil
}

// DecodeRecord reads the record of a key. It returns nil without an error for a key that is
// not known, such as that of a later version. A damaged account is returned as an unreadable
// one instead of an error, as it may hold shares, which must not count as free.
func DecodeRecord(key string, raw []byte) (Record, error) {
	record := emptyRecord(key)
	if record == nil {
		return nil, nil
	}
	err := Decode(raw, record)
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
	Incarnation string `msgpack:"b"` // the owning process, as opposed to earlier ones of that controller
}

// GangState is the state of a gang's record.
type GangState int

// States of a gang's record. Their numbers are stored.
const (
	GangTrying    GangState = 0 // the shards are asked to hold room for the attempt
	GangConfirmed GangState = 1 // the attempt starts
	GangDropped   GangState = 2
)

// Gang is the record of an attempt to start a gang whose tasks are in several shards.
type Gang struct {
	Attempt uint64    `msgpack:"t"`
	State   GangState `msgpack:"st"`
	Shards  []int     `msgpack:"p"`
}

// ImageCache is the record of the images that the machines of a controller's shards have
// cached, so that a new process of the controller knows them.
type ImageCache struct {
	Names    []string         `msgpack:"n"` // of the images
	Machines map[string][]int `msgpack:"h"` // by machine, indices into Names
}

// MachineTypeCache is the record of the machine types that the cloud offered last, for
// processes that start while the cloud does not answer.
type MachineTypeCache struct {
	Types []MachineType `msgpack:"r"`
}
