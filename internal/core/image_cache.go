package core

import (
	"maps"
	"slices"

	"micaport/internal/wire"
)

// Which machines have which images, kept so that the knowledge outlives the process.

func (n *Node) imageCount(machine *machine) int {
	c := 0
	machine.images.Each(func(int) { c++ })
	return c
}

// imageCacheInterval is how often the images on our machines are written down. What
// the last moments before a crash added is lost, at the price of a fetch.
const imageCacheInterval = 20 * second

// writeImageCache writes down which machine has which image. Without it, every
// choice after all controllers had died was blind to what is cached.
func (n *Node) writeImageCache() {
	if n.now < n.imageCacheAt || !n.storeOK {
		return
	}
	n.imageCacheAt = n.now + imageCacheInterval
	rec := &wire.ImageCache{Machines: map[string][]int{}}
	count := 0
	room := n.cfg.MaxValueBytes * 3 / 4 // in bytes, which the sums below stay well within
	var names wire.Interner
	for _, shard := range n.shards {
		if !n.mayActAsOwner(shard) {
			continue
		}
		for _, machine := range shard.machines {
			if machine.returned || machine.term != shard.Term || len(machine.images) == 0 {
				continue
			}
			if room -= len(machine.name) + 6; room < 0 {
				break
			}
			machine.images.Each(func(im int) {
				name := n.names.Images.Name(im)
				if names.Find(name) < 0 {
					room -= len(name) + 3
				}
				if room -= 4; room > 0 {
					rec.Machines[machine.name] = append(rec.Machines[machine.name], names.Of(name))
					count++
				}
			})
		}
	}
	if count == n.imageCacheSize {
		return
	}
	n.imageCacheSize = count
	for i := range names.Len() {
		rec.Names = append(rec.Names, names.Name(i))
	}
	n.commit(ClassBackground, nil, []Write{{Key: wire.ImagePrefix + n.cfg.Self, Value: rec}}, func(Committed) {})
}

// putImageCache learns from what was written down.
func (n *Node) putImageCache(rec *wire.ImageCache) {
	for _, name := range slices.Sorted(maps.Keys(rec.Machines)) {
		if n.names.Machines.Find(name) < 0 && n.replica.Loaded() {
			continue // a machine that nobody has spoken of since is gone
		}
		machine := n.machineNamed(name)
		for _, im := range rec.Machines[name] {
			if im >= 0 && im < len(rec.Names) {
				machine.images.Add(n.names.Images.Of(rec.Names[im]))
			}
		}
	}
}

// pendingFetchGB sums the images that a machine is fetching, or about to.
func (n *Node) pendingFetchGB(machine *machine) float64 {
	sum := 0.0
	for i := range machine.placements {
		job := n.jobs[machine.placements[i].job]
		if job.Record.Spec == nil || machine.images.Has(job.Image) {
			continue
		}
		twice := false
		for k := range i {
			twice = twice || n.jobs[machine.placements[k].job].Image == job.Image
		}
		if !twice {
			sum += job.Record.Spec.ImageGB
		}
	}
	return sum
}
