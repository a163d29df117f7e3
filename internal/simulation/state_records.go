package simulation

import (
	"encoding/json"
	"strings"

	"micaport/internal/core"
	"micaport/internal/wire"
)

func encodeRecordWrites(ws []core.Write) []recordWrite {
	var out []recordWrite
	for _, x := range ws {
		write := recordWrite{key: x.Key, leaseID: x.LeaseID}
		if x.Value != nil {
			raw, err := wire.Encode(x.Value)
			must(err)
			write.raw = raw
		}
		out = append(out, write)
	}
	return out
}

// mustDecodeRecord decodes the value of a key; the simulation stores only valid ones.
func mustDecodeRecord(key string, raw []byte) wire.Record {
	v, err := wire.DecodeRecord(key, raw)
	must(err)
	return v
}

// encodedJSONSize is a value's size in the form in which the limit is meant; it is not
// worked out for values that are far below it.
func encodedJSONSize(raw []byte, least int) int {
	if len(raw) <= least {
		return len(raw)
	}
	var v any
	must(wire.Decode(raw, &v))
	text, err := json.Marshal(v)
	must(err)
	return len(text)
}

// leader is the controller whose claim stands.
func (store *stateService) leader() *wire.Leader {
	record := store.records[wire.LeaderKey]
	if record == nil {
		return nil
	}
	return mustDecodeRecord(wire.LeaderKey, record.raw).(*wire.Leader)
}

// shardOwner names the controller whose claim of a shard stands.
func (store *stateService) shardOwner(shard string) string {
	record := store.records[wire.ShardKey(shard)]
	if record == nil {
		return ""
	}
	return mustDecodeRecord(wire.ShardKey(shard), record.raw).(*wire.Shard).Owner
}

// countOverflowKeys counts the overflow keys of records.
func (store *stateService) countOverflowKeys() int {
	k := 0
	for key := range store.records {
		if strings.HasPrefix(key, wire.OverflowPrefix) {
			k++
		}
	}
	return k
}
