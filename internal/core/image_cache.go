package core

import (
	"maps"
	"slices"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// imageCount returns the number of images on a machine.
func (s *site) imageCount(machine *machine) int {
	count := 0
	machine.images.Each(func(int) { count++ })
	return count
}

// imageCacheInterval is the time between two writes of this controller's image cache record. An
// image that is added after the last write before a crash is missing in the record, which may cost
// a fetch.
const imageCacheInterval = 20 * second

// Encoded sizes of the parts of an image cache record, in bytes. They are upper bounds, so that a
// record planned for three quarters of the value limit is well within it.
const (
	cachedMachineBytes = 6 // a machine without its name
	cachedNameBytes    = 3 // an image name without its characters
	cachedIndexBytes   = 4 // an index of an image name
)

// imageCacheBuilder builds an image cache record of limited size.
type imageCacheBuilder struct {
	record         *wire.ImageCache
	names          wire.Interner
	remainingBytes int // bytes by which the record may still grow
	imageCount     int // images in the record; an image on several machines counts for each
}

// addMachine adds a machine with as many of its images as fit into the record. It returns false if
// not even the machine's name fits.
func (b *imageCacheBuilder) addMachine(n *Node, machine *machine) bool {
	if b.remainingBytes -= len(machine.name) + cachedMachineBytes; b.remainingBytes < 0 {
		return false
	}
	machine.images.Each(func(image int) {
		name := n.names.Images.Name(image)
		if b.names.Find(name) < 0 {
			b.remainingBytes -= len(name) + cachedNameBytes
		}
		if b.remainingBytes -= cachedIndexBytes; b.remainingBytes > 0 {
			b.record.Machines[machine.name] = append(b.record.Machines[machine.name], b.names.Intern(name))
			b.imageCount++
		}
	})
	return true
}

// writeImageCache writes the record of the images on this controller's machines if the number of
// images has changed. Without the record, placement would ignore the cached images after a restart
// of all controllers.
func (n *Node) writeImageCache() {
	if n.now < n.nextImageCacheWriteAt || !n.storeOK {
		return
	}
	n.nextImageCacheWriteAt = n.now + imageCacheInterval
	builder := imageCacheBuilder{record: &wire.ImageCache{Machines: map[string][]int{}}, remainingBytes: n.cfg.MaxValueBytes * 3 / 4}
	for _, shard := range n.shards {
		if !n.mayActAsOwner(shard) {
			continue
		}
		for _, machine := range shard.machines {
			if machine.deprovisioned || machine.term != shard.Term || len(machine.images) == 0 {
				continue
			}
			if !builder.addMachine(n, machine) {
				break
			}
		}
	}
	if builder.imageCount == n.recordedImageCount {
		return
	}
	n.recordedImageCount = builder.imageCount
	for i := range builder.names.Len() {
		builder.record.Names = append(builder.record.Names, builder.names.Name(i))
	}
	n.transact(ClassBackground, nil, []kv.Write{{Key: wire.ImagePrefix + n.cfg.Self, Value: builder.record}}, imageCacheWrite{})
}

// unknownImageCount is the recorded image count while it is not known what is recorded.
const unknownImageCount = -1

// imageCacheWrite is the write of this controller's image cache record in progress.
type imageCacheWrite struct{}

func (imageCacheWrite) committed(n *Node, result Committed) {
	if result.Outcome != kv.OK {
		n.recordedImageCount = unknownImageCount // write it again
	}
}

// putImageCache adds the images in an image cache record to their machines.
func (n *Node) putImageCache(record *wire.ImageCache) {
	for _, name := range slices.Sorted(maps.Keys(record.Machines)) {
		if n.names.Machines.Find(name) < 0 && n.replica.Loaded() {
			continue // no other record or message contains the name, so the machine is gone
		}
		machine := n.getOrAddMachine(name)
		for _, image := range record.Machines[name] {
			if image >= 0 && image < len(record.Names) {
				machine.images.Add(n.names.Images.Intern(record.Names[image]))
			}
		}
	}
}

// pendingFetchGB returns the total size of the images that a machine is fetching or about to fetch.
func (s *site) pendingFetchGB(machine *machine) float64 {
	sum := 0.0
	for i := range machine.placements {
		job := s.jobs[machine.placements[i].job]
		if job.Record.Spec == nil || machine.images.Has(job.Image) {
			continue
		}
		if !s.placementsUseImage(machine.placements[:i], job.Image) {
			sum += job.Record.Spec.ImageGB
		}
	}
	return sum
}

// placementsUseImage reports whether any of the placed tasks uses an image.
func (s *site) placementsUseImage(placements []placement, image int) bool {
	for i := range placements {
		if s.jobs[placements[i].job].Image == image {
			return true
		}
	}
	return false
}
