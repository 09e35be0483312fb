package routers

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/exchange"
)

// Limits of the sections.
const (
	// maxMemberChanges bounds the changes of instances that are kept for routers that lack them. With 7,100 instances one turns
	// over every two minutes; it covers a release of all of them.
	maxMemberChanges = 8192
	// resumeTime is how far back the changes go that a router with a new partner gets again.
	resumeTime = 2 * time.Second
)

// memberChanges are the changes of instances on their way through the tree.
type memberChanges struct {
	log changeLog[members.Change]
	// hashes holds a hash of the latest change of each instance that exists, digest is their sum.
	hashes   map[settings.UpstreamID]uint64
	digest   uint64
	complete bool
}

// add records changes that a router has sent, or this one has found out itself.
func (m *memberChanges) add(now clock.Instant, source string, changes []members.Change) {
	if m.hashes == nil {
		m.hashes = make(map[settings.UpstreamID]uint64)
	}
	for _, c := range changes {
		m.log.add(now, source, c, maxMemberChanges)
		m.digest -= m.hashes[c.ID]
		delete(m.hashes, c.ID)
		if c.Removed {
			continue
		}
		n := uint64(c.Revision) << 1
		if c.Instance.Draining {
			n++
		}
		m.hashes[c.ID] = digestOf(string(c.ID), n)
		m.digest += m.hashes[c.ID]
	}
}

// memberData is the section's data.
type memberData struct {
	Complete bool
	Changes  []members.Change
}

// memberSection is the exchange of instances.
type memberSection struct{ s *Service }

func (x memberSection) ID() peer.SectionID { return peer.SectionMembers }
func (x memberSection) Name() string       { return "members" }

func (x memberSection) Version() peer.StateVersion {
	complete := x.s.Members.Complete()
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	m := &x.s.tree.members
	if complete && !m.complete {
		// An empty change brings the others the word that the list is complete.
		m.complete = true
		m.log.add(x.s.Clock.Now(), "", members.Change{}, maxMemberChanges)
	}
	return m.log.version()
}

func (x memberSection) Urgent() peer.StateVersion { return x.Version() }

func (x memberSection) Digest() uint64 {
	x.Version()
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	if x.s.tree.members.complete {
		return x.s.tree.members.digest + 1
	}
	return x.s.tree.members.digest
}

// Resume covers the changes that another partner may not have passed on.
func (x memberSection) Resume(now clock.Instant) peer.StateVersion {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.s.tree.members.log.resume(now.Add(-resumeTime))
}

func (x memberSection) Since(_ clock.Instant, after peer.StateVersion, receiver string) (exchange.Changes, bool) {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	m := &x.s.tree.members
	list, ok := m.log.since(after)
	if !ok {
		return exchange.Changes{}, false
	}
	data := memberData{Complete: m.complete}
	marked := false
	latest := make(map[settings.UpstreamID]int)
	for _, l := range list {
		if l.source == receiver {
			continue
		}
		marked = marked || l.change.ID == ""
		if i, twice := latest[l.change.ID]; twice {
			data.Changes[i] = l.change
		} else if l.change.ID != "" {
			latest[l.change.ID] = len(data.Changes)
			data.Changes = append(data.Changes, l.change)
		}
	}
	changes := exchange.Changes{To: m.log.version()}
	if marked || len(data.Changes) > 0 {
		changes.Data = encode(&data)
	}
	return changes, true
}

func (x memberSection) Bulky() bool { return true }

func (x memberSection) Full(clock.Instant, uint64) exchange.Changes {
	// The version is read before the state, so that a change in between is sent twice and not never.
	to := x.Version()
	data := memberData{Complete: x.s.Members.Complete(), Changes: x.s.Members.Snapshot()}
	if len(data.Changes) == 0 && !data.Complete {
		return exchange.Changes{To: to}
	}
	return exchange.Changes{To: to, Data: encode(&data)}
}

func (x memberSection) Apply(now clock.Instant, sender string, part peer.StateSection) error {
	var d memberData
	if err := decode(part.Data, &d); err != nil {
		return err
	}
	// Some latest changes are not the complete list.
	x.s.applyMembers(now, sender, d.Complete && part.To != 0, d.Changes)
	return nil
}

// applyMembers applies changes of instances that another router has sent, and passes on those that were new.
func (s *Service) applyMembers(now clock.Instant, sender string, complete bool, changes []members.Change) {
	events := s.Members.ApplyRelayed(now, changes)
	if complete && !s.Members.Complete() {
		s.Members.MarkComplete()
		s.Log.Info("instances received from a router", "router", sender, "instances", len(changes))
	}
	if len(events) > 0 {
		s.OnEvents(sender, events)
		s.broadcast(sender, members.ChangesOf(events))
	}
}
