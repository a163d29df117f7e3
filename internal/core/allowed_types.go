package core

import (
	"cmp"
	"slices"
	"sort"

	"micaport/internal/wire"
)

// typeAllowed reports whether a job's specification allows a machine type.
func typeAllowed(spec *wire.JobSpec, machineType string) bool {
	if spec.NoMachineTypes {
		return false
	}
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType)
}

// fitsType reports whether a task of a job fits on an empty machine of a type.
func fitsType(spec *wire.JobSpec, machineType *wire.MachineType) bool {
	return spec.Cores <= machineType.Cores+epsilon &&
		spec.GPUs <= machineType.GPUs+epsilon &&
		spec.MemoryGB <= machineType.MemoryGB+epsilon
}

// mayRunOn reports whether a task of a job may run on machines of a type and fits them.
func mayRunOn(spec *wire.JobSpec, machineType *wire.MachineType) bool {
	return typeAllowed(spec, machineType.Name) && fitsType(spec, machineType) &&
		(spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone))
}

// anyTypeFits reports whether a task of a job may run on a machine type that is on offer, as far as
// this controller knows, and fits it.
func (s *site) anyTypeFits(spec *wire.JobSpec) bool {
	for _, machineType := range s.machineTypes.Offered() {
		if mayRunOn(spec, machineType) {
			return true
		}
	}
	return false
}

// removeUnknownTypes removes the names of allowed machine types that are not known from a job's
// specification. They can't be provisioned if the cloud has just been asked for its types.
func (s *site) removeUnknownTypes(spec *wire.JobSpec) {
	spec.MachineTypes = slices.DeleteFunc(spec.MachineTypes, func(name string) bool { return s.typeAt(s.names.MachineTypes.Find(name)) == nil })
}

// shortenAllowedTypes removes allowed machine types from a new job's record that does not fit a value
// because of them. It keeps the cheapest that the tasks may run on, as many as fit. Smallest is the
// record without the dependencies that can be stored in other keys. It reports whether any type is
// kept; if not, it changes nothing.
func (n *Node) shortenAllowedTypes(record, smallest *wire.Job) bool {
	var types []*wire.MachineType
	for _, machineType := range n.machineTypes.Offered() {
		if slices.Contains(record.Spec.MachineTypes, machineType.Name) && mayRunOn(record.Spec, machineType) {
			types = append(types, machineType)
		}
	}
	slices.SortStableFunc(types, func(a, b *wire.MachineType) int { return cmp.Compare(a.PricePerHour, b.PricePerHour) })
	names := make([]string, len(types))
	for i, machineType := range types {
		names[i] = machineType.Name
	}
	spec := *smallest.Spec
	shortened := *smallest
	shortened.Spec = &spec
	kept := sort.Search(len(names), func(count int) bool {
		spec.MachineTypes = names[:count+1]
		return !n.jobRecordFits(&shortened)
	})
	if kept == 0 || kept == len(record.Spec.MachineTypes) {
		return false
	}
	n.log(LogInfo, "allowed machine types shortened",
		"job", record.Spec.ID, "allowed", len(record.Spec.MachineTypes), "kept", kept,
		"max_value_bytes", n.cfg.MaxValueBytes)
	record.Spec.MachineTypes = names[:kept]
	return true
}
