package core

import (
	"slices"
	"sort"
	"time"

	"micaport/internal/wire"
)

// gossip tells the peers what we own and what has changed on it.
func (n *Node) gossip(now bool) {
	if now {
		n.gossipAt = min(n.gossipAt, n.gossipLast+gossipPause)
		return
	}
	if n.now < n.gossipAt {
		return
	}
	n.gossipAt, n.gossipLast = n.now+second, n.now
	n.ownInfo()
	m := wire.Gossip{
		From: n.cfg.Self, Life: n.cfg.Life, UpS: n.now.Seconds(), StoreOK: n.storeOK, CutOff: n.isolated(),
		Holds: n.holdsToTell(), Strays: n.strays(), Seen: map[string]wire.Seen{}, Need: n.budget.pendingRecords,
		Leader: n.leaderView(),
	}
	for _, p := range n.parts {
		if n.valid(p) {
			m.Parts = append(m.Parts, p.ix)
			m.Terms = append(m.Terms, p.rev)
		}
	}
	for label, p := range n.peers {
		m.Seen[label] = wire.Seen{Life: p.msg.Life, Ver: p.have}
	}
	if n.leads() {
		m.Retire = n.leader.retireList(n)
		m.Returned = n.leader.returnedLately(n)
		m.Kept = n.leader.kept
		for _, key := range n.gangKeys() {
			if g := n.gangs[key]; g.rec.State != wire.GangDropped {
				m.Tries = append(m.Tries, wire.Hold{Ref: g.ref, Attempt: g.rec.Attempt, OK: g.rec.State == wire.GangConfirmed})
			}
		}
		n.heedLeader(&m)
	}
	// Peers that have seen as much get the same message.
	made := map[uint64]*wire.Gossip{}
	for _, x := range n.cfg.Members {
		if x.Label == n.cfg.Self {
			continue
		}
		base := n.seenBy(x.Label)
		if made[base] == nil {
			made[base] = n.withChanges(m, base, len(n.hosts))
		}
		n.emit(Send{To: x.Label, Msg: made[base]})
	}
	n.gossipByStore(m)
}

// gossipPause is the least time between two messages: what happens at once on
// many machines is told at once.
const gossipPause = 150 * time.Millisecond

// seenBy is how far a peer has taken in what we tell of our machines. A peer
// that says nothing of this life of ours is told everything.
func (n *Node) seenBy(label string) uint64 {
	if p := n.peers[label]; p != nil {
		if s := p.msg.Seen[n.cfg.Self]; s.Life == n.cfg.Life {
			return s.Ver
		}
	}
	return 0
}

// note puts a change of our own view of a machine on the list that the peers
// get.
func (n *Node) note(h *host) {
	n.ver++
	h.ver = n.ver
	n.changeLog = append(n.changeLog, change{n.ver, h.ix})
	if len(n.changeLog) > 2*len(n.hosts)+64 {
		n.changeLog = slices.DeleteFunc(n.changeLog, func(c change) bool { return n.hosts[c.host].ver != c.ver })
	}
}

// change is an entry of the list of changes; it is out of date once the
// machine has a later one.
type change struct {
	ver  uint64
	host int
}

// withChanges completes a message with up to limit machines that changed after
// base. It always takes the earliest, so that the receiver has all there is
// up to the version that the message names, and a lost or repeated one does no
// harm.
func (n *Node) withChanges(m wire.Gossip, base uint64, limit int) *wire.Gossip {
	m.Since, m.Ver = base, n.ver
	var names wire.Interner
	at := sort.Search(len(n.changeLog), func(i int) bool { return n.changeLog[i].ver > base })
	for _, c := range n.changeLog[at:] {
		h := n.hosts[c.host]
		n.work++
		if h.ver != c.ver || h.part < 0 || !n.valid(n.parts[h.part]) || !h.info.known {
			continue
		}
		if len(m.Hosts) >= limit {
			m.Ver = c.ver - 1
			break
		}
		i := wire.HostInfo{Name: h.name, Zone: names.Of(n.zones.Name(h.zone)), Errors: h.info.errors,
			Flags: wire.Flags(h.spot, h.info.leaving, h.info.retiring, h.info.sick, h.info.lost, h.info.unsure) + h.info.quiet<<8}
		if h.rig >= 0 {
			i.Rig = names.Of(n.rigs.Name(h.rig))
		}
		h.images.each(func(im int) { i.Images = append(i.Images, names.Of(n.images.Name(im))) })
		m.Hosts = append(m.Hosts, i)
	}
	for i := range names.Len() {
		m.Names = append(m.Names, names.Name(i))
	}
	return &m
}

// ownInfo brings our view of our own machines up to date.
func (n *Node) ownInfo() {
	for _, p := range n.parts {
		if !n.valid(p) {
			continue
		}
		fresh, all := 0, 0
		for _, h := range p.hosts {
			if h.term == p.rev && !h.returned {
				all++
				if n.now-h.heard < 2*n.cfg.Report {
					fresh++
				}
			}
		}
		for _, h := range p.hosts {
			n.work++
			if h.term != p.rev {
				continue
			}
			silent := n.now - h.heard
			h.sick = h.sick && n.errorsOn(h) > 0 // the jobs may have turned out to be at fault
			v := view{known: true, leaving: h.leavingAt > 0, retiring: h.retiring, sick: h.sick, unsure: !h.token && !h.newborn,
				errors: n.errorsOn(h), images: n.countImages(h)}
			switch {
			case silent > 3*n.cfg.Report:
				v.quiet = 2
			case silent > 2*n.cfg.Report:
				v.quiet = 1
			}
			// Machines could not report to us before we could answer. A deaf
			// one is as good as lost: all it does ends with its lease.
			v.lost = h.deaf || n.lost(h, min(silent, n.now-p.validSince), 2*fresh > all)
			if v != h.info || h.infoTerm != p.rev {
				n.setInfo(h, v, p.rev)
				n.note(h)
				n.leader.dirty = true
			}
		}
	}
}

// setInfo takes what the owner of a machine says of it.
func (n *Node) setInfo(h *host, v view, term uint64) {
	if v.unsure && (!h.info.unsure || h.infoTerm != term) {
		h.unsureAt = n.now
	}
	h.info, h.infoTerm = v, term
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
	if !slices.IsSorted(m.Strays) { // from a version that tells them as they came
		m.Strays = slices.Sorted(slices.Values(m.Strays))
	}
	p := &peer{at: n.now, msg: m}
	if was != nil && was.msg.Life == m.Life {
		if p.have = was.have; m.UpS < was.msg.UpS {
			return // overtaken by a newer one
		}
	}
	n.peers[m.From] = p
	// Changes after a version that we have not reached leave a gap: what we
	// say we have seen makes the peer tell it again.
	if m.Since <= p.have && m.Ver >= p.have {
		p.have = m.Ver
		n.takeHosts(m)
	}
	n.hearHolds(m.Holds)
	n.hearLeaderView(m.From, m.Leader)
	// A newer term than our copy shows means that we have lost the part and
	// can't see it: we are refused by the state service.
	for i, ix := range m.Parts {
		if ix >= 0 && ix < len(n.parts) && i < len(m.Terms) && m.Terms[i] > n.parts[ix].rev {
			n.putPart(n.parts[ix], &wire.Part{Owner: m.From, Life: m.Life}, m.Terms[i])
		}
	}
	n.heedLeader(m)
}

// takeHosts takes what a peer says of its machines.
func (n *Node) takeHosts(m *wire.Gossip) {
	name := func(i int) string {
		if i < 0 || i >= len(m.Names) {
			return ""
		}
		return m.Names[i]
	}
	for i := range m.Hosts {
		n.work++
		info := &m.Hosts[i]
		part := n.partOf(n.zones.Find(name(info.Zone)), info.Name)
		if part < 0 {
			continue
		}
		h := n.hostOf(info.Name)
		if n.holds(n.parts[part]) {
			continue // we know better
		}
		// One that has lost the part without having seen it finds its machines
		// silent; heeded, they were returned with all that ran on them.
		term := uint64(0)
		for k, ix := range m.Parts {
			if ix == part && k < len(m.Terms) {
				term = m.Terms[k]
			}
		}
		if term < n.parts[part].rev {
			continue
		}
		n.setPart(h, part)
		if rig := name(info.Rig); rig != "" {
			h.rig = n.rigs.Of(rig)
		}
		f := info.Flags
		h.spot = f&wire.FlagSpot != 0
		v := view{known: true, leaving: f&wire.FlagLeaving != 0, retiring: f&wire.FlagRetiring != 0, sick: f&wire.FlagSick != 0,
			lost: f&wire.FlagLost != 0, unsure: f&wire.FlagUnsure != 0, quiet: f >> 8, errors: info.Errors}
		n.setInfo(h, v, term)
		h.retiring = h.info.retiring
		if h.info.quiet == 0 {
			h.bounceAt = 0 // it has reached its owner
		}
		for _, im := range info.Images {
			h.images.add(n.images.Of(name(im)))
		}
	}
	n.leader.dirty = n.leader.dirty || len(m.Hosts) > 0
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
	// Owners choose the machines. Without knowing which ones the leader keeps
	// for a gang they filled them again as soon as a task on them had ended.
	clear(n.keptHosts)
	n.keptHostsAt = n.now
	for _, k := range m.Kept {
		if h, j := n.hostIx.Find(k.Host), n.refs.Find(k.Ref); h >= 0 && j >= 0 {
			n.keptHosts[h] = j
		}
	}
	asked := make(map[string]bool, len(m.Retire))
	for _, name := range m.Retire {
		asked[name] = true
		if ix := n.hostIx.Find(name); ix >= 0 {
			h := n.hosts[ix]
			if h.part >= 0 && n.holds(n.parts[h.part]) && len(h.on) == 0 && len(h.tasks) == 0 && !h.retiring {
				h.retiring = true
				n.retiring = append(n.retiring, h.ix)
				n.gossip(true)
			}
		}
	}
	n.retiring = slices.DeleteFunc(n.retiring, func(ix int) bool {
		h := n.hosts[ix]
		// A leader that was replaced early may still return what it had asked for.
		if h.retiring && !asked[h.name] && n.now >= n.cloudOpensAt() {
			h.retiring = false
		}
		return !h.retiring || h.returned
	})
}
