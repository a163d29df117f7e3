package core

import (
	"maps"
	"slices"

	"micaport/internal/wire"
)

// Which machines have which images, kept so that the knowledge outlives the process.

func (n *Node) countImages(h *host) int {
	c := 0
	h.images.each(func(int) { c++ })
	return c
}

// imagePause is how often the images on our machines are written down. What
// the last moments before a crash added is lost, at the price of a fetch.
const imagePause = 20 * second

// keepImages writes down which machine has which image. Without it, every
// choice after all controllers had died was blind to what is cached.
func (n *Node) keepImages() {
	if n.now < n.imagesAt || !n.storeOK {
		return
	}
	n.imagesAt = n.now + imagePause
	rec := &wire.Images{Hosts: map[string][]int{}}
	count := 0
	room := n.cfg.ValueBytes * 3 / 4 // in bytes, which the sums below stay well within
	var names wire.Interner
	for _, p := range n.parts {
		if !n.valid(p) {
			continue
		}
		for _, h := range p.hosts {
			if h.returned || h.term != p.rev || len(h.images) == 0 {
				continue
			}
			if room -= len(h.name) + 6; room < 0 {
				break
			}
			h.images.each(func(im int) {
				name := n.images.Name(im)
				if names.Find(name) < 0 {
					room -= len(name) + 3
				}
				if room -= 4; room > 0 {
					rec.Hosts[h.name] = append(rec.Hosts[h.name], names.Of(name))
					count++
				}
			})
		}
	}
	if count == n.imagesKept {
		return
	}
	n.imagesKept = count
	for i := range names.Len() {
		rec.Names = append(rec.Names, names.Name(i))
	}
	n.commit(Bulk, nil, []Write{{Key: wire.ImagePrefix + n.cfg.Self, Value: rec}}, func(Committed) {})
}

// takeImages learns from what was written down.
func (n *Node) takeImages(rec *wire.Images) {
	for _, name := range slices.Sorted(maps.Keys(rec.Hosts)) {
		if n.hostIx.Find(name) < 0 && n.loaded {
			continue // a machine that nobody has spoken of since is gone
		}
		h := n.hostOf(name)
		for _, im := range rec.Hosts[name] {
			if im >= 0 && im < len(rec.Names) {
				h.images.add(n.images.Of(rec.Names[im]))
			}
		}
	}
}

// fetchGB sums the images that a machine is fetching, or about to.
func (n *Node) fetchGB(h *host) float64 {
	sum := 0.0
	for i := range h.on {
		j := n.jobs[h.on[i].job]
		if j.rec.Spec == nil || h.images.has(j.image) {
			continue
		}
		twice := false
		for k := range i {
			twice = twice || n.jobs[h.on[k].job].image == j.image
		}
		if !twice {
			sum += j.rec.Spec.ImageGB
		}
	}
	return sum
}
