package wire

import (
	"encoding/json"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns v encoded as MessagePack.
func Encode(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return raw, nil
}

// Decode decodes MessagePack into v, which must be a pointer. Encoded fields that v does not have
// are ignored. The error of a value that is not decoded at all wraps ErrTruncated, ErrTooDeeplyNested
// or ErrNotInProtocol.
func Decode(raw []byte, v any) error {
	if err := checkEncoding(raw); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if err := msgpack.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// JSONSize returns the size in bytes of v as JSON, which is how the state service measures the
// size of values.
func JSONSize(v any) (int, error) {
	raw, err := Encode(v)
	if err != nil {
		return 0, err
	}
	var decoded any
	if err := Decode(raw, &decoded); err != nil {
		return 0, err
	}
	text, err := json.Marshal(decoded)
	if err != nil {
		return 0, fmt.Errorf("encode as JSON: %w", err)
	}
	return len(text), nil
}
