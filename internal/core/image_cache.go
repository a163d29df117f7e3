package core

import (
	"maps"
	"slices"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// The image cache record: which machines have which images. Without it, every choice of a
// machine would ignore what is cached after all controllers have restarted.

// imageCount is the number of images on a machine.
func (s *site) imageCount(machine *machine) int {
	count := 0
	machine.images.Each(func(int) { count++ })
	return count
}

// imageCacheInterval is how often the images on this controller's machines are recorded.
// What was added after the last write before a crash is lost, at the cost of a fetch.
const imageCacheInterval = 20 * second

// Bytes of an image cache record: estimates that are above what its parts take, so that
// three quarters of a value are well within the limit.
const (
	cachedMachineBytes = 6 // besides its name
	cachedNameBytes    = 3 // besides the name
	cachedIndexBytes   = 4
)

// imageCacheBuilder makes an image cache record within a size.
type imageCacheBuilder struct {
	record *wire.ImageCache
	names  wire.Interner
	room   int // bytes that are left
	count  int // images of machines in the record
}

// addMachine adds the images of a machine as far as there is room, and reports false
// when there was none for the machine itself.
func (b *imageCacheBuilder) addMachine(n *Node, machine *machine) bool {
	if b.room -= len(machine.name) + cachedMachineBytes; b.room < 0 {
		return false
	}
	machine.images.Each(func(image int) {
		name := n.names.Images.Name(image)
		if b.names.Find(name) < 0 {
			b.room -= len(name) + cachedNameBytes
		}
		if b.room -= cachedIndexBytes; b.room > 0 {
			b.record.Machines[machine.name] = append(b.record.Machines[machine.name], b.names.Of(name))
			b.count++
		}
	})
	return true
}

// writeImageCache records which of this controller's machines have which images, when
// their number has changed.
func (n *Node) writeImageCache() {
	if n.now < n.imageCacheAt || !n.storeOK {
		return
	}
	n.imageCacheAt = n.now + imageCacheInterval
	builder := imageCacheBuilder{record: &wire.ImageCache{Machines: map[string][]int{}}, room: n.cfg.MaxValueBytes * 3 / 4}
	for _, shard := range n.shards {
		if !n.mayActAsOwner(shard) {
			continue
		}
		for _, machine := range shard.machines {
			if machine.returned || machine.term != shard.Term || len(machine.images) == 0 {
				continue
			}
			if !builder.addMachine(n, machine) {
				break
			}
		}
	}
	if builder.count == n.imageCacheSize {
		return
	}
	n.imageCacheSize = builder.count
	for i := range builder.names.Len() {
		builder.record.Names = append(builder.record.Names, builder.names.Name(i))
	}
	n.transact(ClassBackground, nil, []kv.Write{{Key: wire.ImagePrefix + n.cfg.Self, Value: builder.record}}, ignoreResult{})
}

// putImageCache takes in an image cache record.
func (n *Node) putImageCache(record *wire.ImageCache) {
	for _, name := range slices.Sorted(maps.Keys(record.Machines)) {
		if n.names.Machines.Find(name) < 0 && n.replica.Loaded() {
			continue // no other record or message names it, so it is gone
		}
		machine := n.machineNamed(name)
		for _, image := range record.Machines[name] {
			if image >= 0 && image < len(record.Names) {
				machine.images.Add(n.names.Images.Of(record.Names[image]))
			}
		}
	}
}

// pendingFetchGB sums the sizes of the images that a machine is fetching or about to
// fetch.
func (s *site) pendingFetchGB(machine *machine) float64 {
	sum := 0.0
	for i := range machine.placements {
		job := s.jobs[machine.placements[i].job]
		if job.Record.Spec == nil || machine.images.Has(job.Image) {
			continue
		}
		if !s.fetchesImage(machine.placements[:i], job.Image) {
			sum += job.Record.Spec.ImageGB
		}
	}
	return sum
}

// fetchesImage reports whether one of the placed tasks is of a job with an image.
func (s *site) fetchesImage(placements []placement, image int) bool {
	for i := range placements {
		if s.jobs[placements[i].job].Image == image {
			return true
		}
	}
	return false
}
