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
// there. The library also calls itself for each level of nesting, so that a message of 64 KiB with
// one list in the other takes 32 MB of stack.

// maxNesting is the largest number of values that contain each other in a message. Messages of
// the protocol and records have at most eight.
const maxNesting = 64

// Errors of values that are not decoded.
var (
	// ErrTruncated is returned for an encoded value that ends before all that its headers state.
	ErrTruncated = errors.New("MessagePack value is truncated")
	// ErrTooDeeplyNested is returned for an encoded value with more than 64 levels of lists and maps.
	ErrTooDeeplyNested = errors.New("MessagePack value is too deeply nested")
	// ErrNotInProtocol is returned for a MessagePack type that the protocol does not use: the
	// extension types, and the byte that MessagePack reserves.
	ErrNotInProtocol = errors.New("MessagePack type is not part of the protocol")
)

// checkEncoding returns an error if raw does not begin with a complete MessagePack value, or the
// value can't be decoded. The error wraps ErrTruncated, ErrTooDeeplyNested or ErrNotInProtocol. Bytes
// after the value are allowed.
func checkEncoding(raw []byte) error {
	scanner := encodingScanner{rest: raw}
	var pending [maxNesting]uint64 // values that follow, by level of nesting
	pending[0] = 1
	for level := 0; level >= 0; {
		if pending[level] == 0 {
			level--
			continue
		}
		pending[level]--
		children, err := scanner.skipHeader()
		if err != nil {
			return err
		}
		if children == 0 {
			continue
		}
		if level++; level == maxNesting {
			return ErrTooDeeplyNested
		}
		pending[level] = children
	}
	return nil
}

// splitMap returns the encoded values of a map by their names. It decodes none, so they may be nested
// without limit: a receiver has to ignore the fields that it does not know, whatever they contain.
func splitMap(raw []byte) (map[string][]byte, error) {
	if len(raw) == 0 || !msgpcode.IsFixedMap(raw[0]) && raw[0] != msgpcode.Map16 && raw[0] != msgpcode.Map32 {
		return nil, ErrNotAMap
	}
	scanner := encodingScanner{rest: raw}
	children, err := scanner.skipHeader()
	if err != nil {
		return nil, err
	}
	values := map[string][]byte{}
	for range children / 2 {
		encodedName, err := scanner.readValue()
		if err != nil {
			return nil, err
		}
		var name string
		if err := Decode(encodedName, &name); err != nil {
			return nil, err
		}
		if values[name], err = scanner.readValue(); err != nil {
			return nil, err
		}
	}
	return values, nil
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
	}
	return nil
}

// readValue returns the next value, encoded.
func (s *encodingScanner) readValue() ([]byte, error) {
	value := s.rest
	err := s.skipValue()
	return value[:len(value)-len(s.rest)], err
}

// skipHeader skips the header of a value, and the contents of a text, number or boolean. It returns
// the number of values that follow as elements of a list, or as keys and values of a map. Fewer
// bytes than that are an error, as each value takes at least a byte.
func (s *encodingScanner) skipHeader() (children uint64, err error) {
	children, err = s.readHeader()
	if err == nil && children > uint64(len(s.rest)) {
		err = fmt.Errorf("%w: %d values in %d bytes", ErrTruncated, children, len(s.rest))
	}
	return children, err
}

// readHeader is skipHeader without the check that the values that follow may be there.
func (s *encodingScanner) readHeader() (children uint64, err error) {
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
	return s.readSizedHeader(code)
}

// readSizedHeader is readHeader for a value whose first byte, which has been read, states its type
// but not its size.
func (s *encodingScanner) readSizedHeader(code byte) (children uint64, err error) {
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
	case msgpcode.Map16:
		entries, err := s.readUint(2)
		return 2 * entries, err
	case msgpcode.Map32:
		entries, err := s.readUint(4)
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
