package simulation

import (
	"encoding/json"
	"strings"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// encodeRecordWrites encodes the values of the writes of a core.
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

// mustDecodeRecord decodes the value of a key. It panics if the value is invalid, since
// controllers write valid values only.
func mustDecodeRecord(key string, raw []byte) wire.Record {
	record, err := wire.DecodeRecord(key, raw)
	must(err)
	return record
}

// encodedJSONSize returns the size of an encoded value in JSON, to which the limit of the
// service applies. It does not convert an encoding of at most maxUnconverted bytes, which is
// far below the limit, and returns the size of the encoding instead.
func encodedJSONSize(raw []byte, maxUnconverted int) int {
	if len(raw) <= maxUnconverted {
		return len(raw)
	}
	var value any
	must(wire.Decode(raw, &value))
	text, err := json.Marshal(value)
	must(err)
	return len(text)
}

// revisionOf returns the revision of the record of a key, or 0 if the key has none.
func (s *stateService) revisionOf(key string) uint64 {
	if record := s.records[key]; record != nil {
		return record.revision
	}
	return 0
}

// leader returns the current leader's record, or nil.
func (s *stateService) leader() *wire.Leader {
	record := s.records[wire.LeaderKey]
	if record == nil {
		return nil
	}
	return mustDecodeRecord(wire.LeaderKey, record.raw).(*wire.Leader)
}

// shardOwner returns the label of the controller that owns a shard, or "".
func (s *stateService) shardOwner(shard string) string {
	key := wire.ShardKey(shard)
	record := s.records[key]
	if record == nil {
		return ""
	}
	return mustDecodeRecord(key, record.raw).(*wire.Shard).Owner
}

// countOverflowKeys returns the number of overflow keys of job records.
func (s *stateService) countOverflowKeys() int {
	count := 0
	for key := range s.records {
		if strings.HasPrefix(key, wire.OverflowPrefix) {
			count++
		}
	}
	return count
}
