package machinetypes

import (
	"errors"
	"fmt"

	"micaport/internal/wire"
)

// List is the stored list of machine types.
type List struct {
	Offered   []wire.MachineType
	Withdrawn []wire.MachineType // no longer offered; machines of these types may still run
}

// ErrTypeTooLarge is returned for a machine type that does not fit a value even alone and with a
// single zone.
var ErrTypeTooLarge = errors.New("machine type too large for a value")

// assemble returns the list that a head record names, and reports whether it is whole, that is whether
// all parts were found.
func assemble(head *wire.MachineTypeHead, findPart func(key string) *wire.MachineTypePart) (list List, whole bool) {
	if head.Parts < 1 {
		return List{}, false
	}
	for number := 1; number <= head.Parts; number++ {
		part := findPart(wire.MachineTypePartKey(head.Generation, number))
		if part == nil {
			return List{}, false
		}
		list.Offered = append(list.Offered, part.Offered...)
		list.Withdrawn = append(list.Withdrawn, part.Withdrawn...)
	}
	list.Offered, list.Withdrawn = mergeByName(list.Offered), mergeByName(list.Withdrawn)
	return list, true
}

// Find returns the stored list and reports whether it is whole: that of the head record, or else that
// of a record that is marked as whole. FindPart returns the part with a key, or nil.
func Find(head *wire.MachineTypeHead, record *wire.MachineTypeCache, findPart func(key string) *wire.MachineTypePart) (list List, whole bool) {
	if head != nil {
		return assemble(head, findPart)
	}
	if record == nil || !record.Whole {
		return List{}, false
	}
	return List{mergeByName(record.Types), mergeByName(record.Withdrawn)}, true
}

// split returns the list as parts, each of which is at most maxBytes large, as the state service
// measures it. A type that does not fit a part with all its zones is split into several with some
// of them, which assemble merges. The error is that of splitType.
func (l *List) split(maxBytes int) ([]*wire.MachineTypePart, error) {
	headerBytes, err := wire.JSONSize(&wire.MachineTypePart{Offered: []wire.MachineType{}, Withdrawn: []wire.MachineType{{}}})
	if err != nil {
		return nil, err
	}
	parts := []*wire.MachineTypePart{{}}
	size := headerBytes
	add := func(types []wire.MachineType, field func(*wire.MachineTypePart) *[]wire.MachineType) error {
		for i := range types {
			pieces, err := splitType(types[i], maxBytes-headerBytes)
			if err != nil {
				return err
			}
			for _, piece := range pieces {
				if size+piece.bytes > maxBytes {
					parts, size = append(parts, &wire.MachineTypePart{}), headerBytes
				}
				target := field(parts[len(parts)-1])
				*target = append(*target, piece.machineType)
				size += piece.bytes
			}
		}
		return nil
	}
	if err := add(l.Offered, func(part *wire.MachineTypePart) *[]wire.MachineType { return &part.Offered }); err != nil {
		return nil, err
	}
	if err := add(l.Withdrawn, func(part *wire.MachineTypePart) *[]wire.MachineType { return &part.Withdrawn }); err != nil {
		return nil, err
	}
	return parts, nil
}

// sizedType is a type, or a part of one, with the bytes that it takes in a list.
type sizedType struct {
	machineType wire.MachineType
	bytes       int
}

// splitType returns a type as one that fits the given number of bytes, or as several with some of
// its zones each. The error is ErrTypeTooLarge, or that of a value that can't be encoded.
func splitType(machineType wire.MachineType, maxBytes int) ([]sizedType, error) {
	size, err := wire.JSONSize(&machineType)
	if err != nil {
		return nil, fmt.Errorf("machine type %q: %w", machineType.Name, err)
	}
	size++ // the comma between two types
	if size <= maxBytes {
		return []sizedType{{machineType, size}}, nil
	}
	half := len(machineType.Zones) / 2
	if half == 0 {
		return nil, fmt.Errorf("%w: %.40q", ErrTypeTooLarge, machineType.Name)
	}
	first, second := machineType, machineType
	first.Zones, second.Zones = machineType.Zones[:half], machineType.Zones[half:]
	pieces, err := splitType(first, maxBytes)
	if err != nil {
		return nil, err
	}
	others, err := splitType(second, maxBytes)
	return append(pieces, others...), err
}
