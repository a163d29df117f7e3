package wire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// The MessagePack library allocates memory for as many elements as the header of a list or map
// states, before it reads them. A message of five bytes can state 2^32 - 1. Everything that is
// received is therefore checked before it is decoded: every value that a header states has to be
// there.

// Errors of values that are not decoded.
var (
	// ErrTruncated is returned for an encoded value that ends before all that its headers state.
	ErrTruncated = errors.New("MessagePack value is truncated")
	// ErrNotInProtocol is returned for a MessagePack type that the protocol does not use: the
	// extension types, and the byte that MessagePack reserves.
	ErrNotInProtocol = errors.New("MessagePack type is not part of the protocol")
)

// checkEncoding reports an error, which wraps ErrTruncated or ErrNotInProtocol, if raw does not begin
// with a complete MessagePack value. Bytes after the value are allowed.
func checkEncoding(raw []byte) error {
	scanner := encodingScanner{rest: raw}
	return scanner.skipValue()
}

// encodingScanner reads the headers of encoded values. It allocates no memory.
type encodingScanner struct {
	rest []byte // not read yet
}

// skipValue skips a value with all values in it, however deeply they are nested.
func (s *encodingScanner) skipValue() error {
	for pending := uint64(1); pending > 0; pending-- {
		children, err := s.skipHeader()
		if err != nil {
			return err
		}
		pending += children
		if pending-1 > uint64(len(s.rest)) { // each value takes at least a byte
			return fmt.Errorf("%w: %d values in %d bytes", ErrTruncated, pending-1, len(s.rest))
		}
	}
	return nil
}

// skipHeader skips the header of a value, and the contents of a text, number or boolean. It returns
// the number of values that follow as elements of a list, or as keys and values of a map.
func (s *encodingScanner) skipHeader() (children uint64, err error) {
	if len(s.rest) == 0 {
		return 0, ErrTruncated
	}
	code := s.rest[0]
	s.rest = s.rest[1:]
	switch {
	case msgpcode.IsFixedNum(code):
		return 0, nil
	case msgpcode.IsFixedMap(code):
		return 2 * uint64(code&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedArray(code):
		return uint64(code & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedString(code):
		return 0, s.skipBytes(uint64(code & msgpcode.FixedStrMask))
	}
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 0, nil
	case msgpcode.Uint8, msgpcode.Int8:
		return 0, s.skipBytes(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return 0, s.skipBytes(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 0, s.skipBytes(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 0, s.skipBytes(8)
	case msgpcode.Str8, msgpcode.Bin8:
		return 0, s.skipSized(1)
	case msgpcode.Str16, msgpcode.Bin16:
		return 0, s.skipSized(2)
	case msgpcode.Str32, msgpcode.Bin32:
		return 0, s.skipSized(4)
	case msgpcode.Array16:
		return s.readUint(2)
	case msgpcode.Array32:
		return s.readUint(4)
	case msgpcode.Map16, msgpcode.Map32:
		size := 2
		if code == msgpcode.Map32 {
			size = 4
		}
		entries, err := s.readUint(size)
		return 2 * entries, err
	}
	return 0, fmt.Errorf("%w: byte %#x", ErrNotInProtocol, code)
}

// skipBytes skips a number of bytes.
func (s *encodingScanner) skipBytes(count uint64) error {
	if count > uint64(len(s.rest)) {
		return fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(s.rest), count)
	}
	s.rest = s.rest[count:]
	return nil
}

// skipSized skips the bytes of a value whose number is encoded in the next lengthBytes bytes.
func (s *encodingScanner) skipSized(lengthBytes int) error {
	count, err := s.readUint(lengthBytes)
	if err != nil {
		return err
	}
	return s.skipBytes(count)
}

// readUint reads a big-endian unsigned integer of 1, 2 or 4 bytes.
func (s *encodingScanner) readUint(size int) (uint64, error) {
	if size > len(s.rest) {
		return 0, ErrTruncated
	}
	var padded [8]byte
	copy(padded[len(padded)-size:], s.rest)
	s.rest = s.rest[size:]
	return binary.BigEndian.Uint64(padded[:]), nil
}
