package core

import (
	"maps"
	"slices"

	"micaport/internal/wire"
)

// gossip tells the peers what we own and what room there is.
func (n *Node) gossip(now bool) {
	if now {
		n.gossipAt = 0
		return
	}
	if n.now < n.gossipAt {
		return
	}
	n.gossipAt = n.now + second
	m := &wire.Gossip{
		From: n.cfg.Self, Life: n.cfg.Life, UpS: n.now.Seconds(), StoreOK: n.storeOK, CutOff: n.isolated(), Rev: n.rev,
		Holds: n.holdsToTell(),
	}
	for _, p := range n.parts {
		if n.valid(p) {
			m.Parts = append(m.Parts, p.ix)
			m.Terms = append(m.Terms, p.rev)
		}
	}
	m.Hosts = n.ownInfo()
	for _, h := range n.hosts {
		if h.redirectAt > 0 && n.now-h.redirectAt < strayFor {
			m.Strays = append(m.Strays, h.name)
		}
	}
	if n.leads() {
		m.Retire = n.leader.retireList(n)
		m.Returned = n.leader.returned
		for _, key := range n.gangKeys() {
			if g := n.gangs[key]; g.rec.State != wire.GangDropped {
				m.Tries = append(m.Tries, wire.Hold{Ref: g.ref, Attempt: g.rec.Attempt, OK: g.rec.State == wire.GangConfirmed})
			}
		}
		n.heedLeader(m)
	}
	for _, p := range n.cfg.Members {
		if p.Label != n.cfg.Self {
			n.emit(Send{To: p.Label, Msg: m})
		}
	}
	n.gossipByStore(m)
}

// gossipByStore leaves the message with the state service while some peer
// can't be heard. Zones that are cut from each other both reach the service,
// so the leader goes on knowing the machines on the other side. Nothing rests
// on it: a message that is lost, late or old costs a better choice, no more.
func (n *Node) gossipByStore(m *wire.Gossip) {
	if n.now < n.roomAt || !n.storeOK || n.now < 10*second {
		return
	}
	silent := false
	for _, x := range n.cfg.Members {
		p := n.peers[x.Label]
		silent = silent || x.Label != n.cfg.Self && (p == nil || p.byStore || n.now-p.at > 3*second)
	}
	if !silent {
		return
	}
	n.roomAt = n.now + n.cfg.Report
	short := *m
	// 220 bytes are ample for a machine without its images.
	if room := n.cfg.ValueBytes/220 - 6; len(short.Hosts) > room {
		short.Hosts = short.Hosts[:max(room, 0)]
	}
	short.Hosts = slices.Clone(short.Hosts)
	for i := range short.Hosts {
		short.Hosts[i].Images = nil
	}
	short.Returned = short.Returned[max(0, len(short.Returned)-20):]
	short.Retire = short.Retire[:min(len(short.Retire), 20)]
	n.commit(Bulk, nil, []Write{{Key: wire.RoomPrefix + n.cfg.Self, Value: &short}}, func(Committed) {})
}

// gossipFromStore takes a message left with the state service, unless the
// peer can be heard directly or the message is an old one.
func (n *Node) gossipFromStore(m *wire.Gossip) {
	if p := n.peers[m.From]; p != nil && (!p.byStore && n.now-p.at < 3*second || p.msg.Life == m.Life && m.UpS <= p.msg.UpS) {
		return
	}
	n.gossiped(m)
	if p := n.peers[m.From]; p != nil && p.msg == m {
		p.byStore = true
	}
}

// ownInfo describes the machines of our parts, and keeps the same view that
// the peers get of them.
func (n *Node) ownInfo() []wire.HostInfo {
	var out []wire.HostInfo
	fresh, all := map[int]int{}, map[int]int{}
	for _, h := range n.hosts {
		if h.part >= 0 && n.valid(n.parts[h.part]) && h.term == n.parts[h.part].rev && !h.returned {
			all[h.part]++
			if n.now-h.heard < 2*n.cfg.Report {
				fresh[h.part]++
			}
		}
	}
	for _, h := range n.hosts {
		if h.part < 0 || h.returned {
			continue
		}
		p := n.parts[h.part]
		if !n.valid(p) || h.term != p.rev {
			continue
		}
		silent := n.now - h.heard
		if silent > 3*n.cfg.Lease && len(h.jobs) == 0 {
			continue
		}
		i := wire.HostInfo{
			Name: h.name, Rig: h.rig, Zone: h.zone, Spot: h.spot, SilentS: silent.Seconds(),
			Leaving: h.leavingAt > 0, Retiring: h.retiring, Sick: h.sick, Errors: len(h.errJobs),
			// Machines could not report to us before we could answer.
			Lost: n.lost(h, min(silent, n.now-p.validSince), 2*fresh[h.part] > all[h.part]),
		}
		i.FetchGB = n.fetchGB(h)
		for im := range n.images.Len() {
			if h.images[im] {
				i.Images = append(i.Images, n.images.Name(im))
			}
		}
		h.info, h.infoAt = i, n.now
		out = append(out, i)
	}
	return out
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
	rec := &wire.Images{Hosts: map[string][]string{}}
	count := 0
	room := n.cfg.ValueBytes / 2 // in bytes, which names below stay well within
	for _, h := range n.hosts {
		if h.part < 0 || h.returned || !n.valid(n.parts[h.part]) || h.term != n.parts[h.part].rev {
			continue
		}
		for im := range n.images.Len() {
			if name := n.images.Name(im); h.images[im] && room > 0 {
				rec.Hosts[h.name] = append(rec.Hosts[h.name], name)
				room -= len(name) + 3
				count++
			}
		}
	}
	if count == n.imagesKept {
		return
	}
	n.imagesKept = count
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
			h.images[n.images.Of(im)] = true
		}
	}
}

// strayFor is how long a machine counts as having come to a controller that
// does not own it.
const strayFor = 12 * second

// lost tells whether a silent machine is dead or hangs, rather than cut from
// us: its neighbours still report, or it has not turned to any peer either.
func (n *Node) lost(h *host, silent Time, neighbours bool) bool {
	if silent < 3*n.cfg.Report+second {
		return false
	}
	if neighbours {
		return true
	}
	heard := false
	for _, m := range n.cfg.Members {
		p := n.peers[m.Label]
		if p == nil || n.now-p.at > 3*second {
			continue
		}
		heard = true
		if contains(p.msg.Strays, h.name) {
			return false
		}
	}
	// A worker that can't reach us has tried a peer by now: a report, its
	// patience of 4 s, a pause, and the peer's next message.
	return heard && silent > 2*n.cfg.Report+7*second
}

// fetchGB sums the images that a machine is fetching, or about to.
func (n *Node) fetchGB(h *host) float64 {
	seen := map[int]bool{}
	sum := 0.0
	for _, jx := range h.jobs {
		j := n.jobs[jx]
		if j.rec.Spec != nil && !h.images[j.image] && !seen[j.image] {
			seen[j.image] = true
			sum += j.rec.Spec.ImageGB
		}
	}
	return sum
}

// gossiped takes a peer's message.
func (n *Node) gossiped(m *wire.Gossip) {
	if m == nil || !slices.ContainsFunc(n.cfg.Members, func(x Member) bool { return x.Label == m.From }) || m.From == n.cfg.Self {
		return
	}
	was := n.peers[m.From]
	if !m.StoreOK && (was == nil || was.msg.StoreOK) {
		n.refusedSince[m.From] = n.now
	}
	n.peers[m.From] = &peer{at: n.now, msg: m}
	for i := range m.Hosts {
		info := &m.Hosts[i]
		part := n.partOf(info.Zone, info.Name)
		if part < 0 {
			continue
		}
		h := n.hostOf(info.Name)
		if n.holds(n.parts[part]) {
			continue // we know better
		}
		h.part, h.rig, h.zone, h.spot = part, info.Rig, info.Zone, info.Spot
		h.info, h.infoAt = *info, n.now-Time(info.SilentS*float64(second))
		h.retiring = info.Retiring
		if h.infoAt > h.bounceAt {
			h.bounceAt = 0 // it has reached its owner since
		}
		for _, im := range info.Images {
			h.images[n.images.Of(im)] = true
		}
	}
	n.hearHolds(m.Holds)
	// A newer term than our copy shows means that we have lost the part and
	// can't see it: we are refused by the state service.
	for i, ix := range m.Parts {
		if ix >= 0 && ix < len(n.parts) && i < len(m.Terms) && m.Terms[i] > n.parts[ix].rev {
			n.putPart(n.parts[ix], &wire.Part{Owner: m.From, Life: m.Life}, m.Terms[i])
		}
	}
	n.heedLeader(m)
	n.leader.dirty = true
}

// heedLeader does what the leader asks of owners.
func (n *Node) heedLeader(m *wire.Gossip) {
	if n.leader.rec == nil || n.leader.rec.Node != m.From {
		return
	}
	for _, name := range m.Returned {
		if ix := n.hostIx.Find(name); ix >= 0 {
			n.hosts[ix].returned = true
		}
	}
	for _, h := range n.hosts {
		if h.part >= 0 && n.holds(n.parts[h.part]) {
			h.retiring = h.retiring && contains(m.Retire, h.name)
		}
	}
	for _, name := range m.Retire {
		if ix := n.hostIx.Find(name); ix >= 0 {
			h := n.hosts[ix]
			if h.part >= 0 && n.holds(n.parts[h.part]) && len(h.jobs) == 0 && len(h.tasks) == 0 {
				h.retiring = true
			}
		}
	}
}
