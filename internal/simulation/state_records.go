package simulation

import (
	"encoding/json"
	"strings"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// encodeRecordWrites encodes the values of a core's writes.
func encodeRecordWrites(writes []kv.Write) []recordWrite {
	var encoded []recordWrite
	for _, write := range writes {
		record := recordWrite{key: write.Key, leaseID: write.LeaseID}
		if write.Value != nil {
			raw, err := wire.Encode(write.Value)
			must(err)
			record.raw = raw
		}
		encoded = append(encoded, record)
	}
	return encoded
}

// mustDecodeRecord decodes the value of a key. Controllers write only valid ones.
func mustDecodeRecord(key string, raw []byte) wire.Record {
	record, err := wire.DecodeRecord(key, raw)
	must(err)
	return record
}

// encodedJSONSize returns the size of a value in JSON, which the service's limit is about.
// For values far below the limit, of at most approximate bytes, it returns their own size.
func encodedJSONSize(raw []byte, approximate int) int {
	if len(raw) <= approximate {
		return len(raw)
	}
	var value any
	must(wire.Decode(raw, &value))
	text, err := json.Marshal(value)
	must(err)
	return len(text)
}

// revisionOf returns the revision of a record, or 0 if there is none.
func (s *stateService) revisionOf(key string) uint64 {
	if record := s.records[key]; record != nil {
		return record.revision
	}
	return 0
}

// leader returns the claim of the leadership that stands, or nil.
func (s *stateService) leader() *wire.Leader {
	record := s.records[wire.LeaderKey]
	if record == nil {
		return nil
	}
	return mustDecodeRecord(wire.LeaderKey, record.raw).(*wire.Leader)
}

// shardOwner returns the label of the controller whose claim of a shard stands, or "".
func (s *stateService) shardOwner(shard string) string {
	key := wire.ShardKey(shard)
	record := s.records[key]
	if record == nil {
		return ""
	}
	return mustDecodeRecord(key, record.raw).(*wire.Shard).Owner
}

// countOverflowKeys counts the overflow keys of jobs' records.
func (s *stateService) countOverflowKeys() int {
	count := 0
	for key := range s.records {
		if strings.HasPrefix(key, wire.OverflowPrefix) {
			count++
		}
	}
	return count
}
