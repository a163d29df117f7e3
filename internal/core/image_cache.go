package core

import (
	"maps"
	"slices"

	"micaport/internal/wire"
)

// Which machines have which images, kept so that the knowledge outlives the process.

func (n *Node) imageCount(h *machine) int {
	c := 0
	h.images.Each(func(int) { c++ })
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
	for _, p := range n.shards {
		if !n.mayActAsOwner(p) {
			continue
		}
		for _, h := range p.machines {
			if h.returned || h.term != p.Term || len(h.images) == 0 {
				continue
			}
			if room -= len(h.name) + 6; room < 0 {
				break
			}
			h.images.Each(func(im int) {
				name := n.names.Images.Name(im)
				if names.Find(name) < 0 {
					room -= len(name) + 3
				}
				if room -= 4; room > 0 {
					rec.Machines[h.name] = append(rec.Machines[h.name], names.Of(name))
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
		h := n.machineNamed(name)
		for _, im := range rec.Machines[name] {
			if im >= 0 && im < len(rec.Names) {
				h.images.Add(n.names.Images.Of(rec.Names[im]))
			}
		}
	}
}

// pendingFetchGB sums the images that a machine is fetching, or about to.
func (n *Node) pendingFetchGB(h *machine) float64 {
	sum := 0.0
	for i := range h.placements {
		j := n.jobs[h.placements[i].job]
		if j.Record.Spec == nil || h.images.Has(j.Image) {
			continue
		}
		twice := false
		for k := range i {
			twice = twice || n.jobs[h.placements[k].job].Image == j.Image
		}
		if !twice {
			sum += j.Record.Spec.ImageGB
		}
	}
	return sum
}
