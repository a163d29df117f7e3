package wire

import (
	"encoding/json"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode writes v as MessagePack.
func Encode(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return raw, nil
}

// Decode reads MessagePack into v, which must be a pointer. Fields that v lacks are ignored.
func Decode(raw []byte, v any) error {
	if err := msgpack.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// JSONSize is the size of v in bytes in the form in which the state service measures values:
// as JSON.
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
		return 0, fmt.Errorf("size: %w", err)
	}
	return len(text), nil
}
