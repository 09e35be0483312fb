package outcome

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// Vouch says whether a side may run a key that it has no record of.
type Vouch int

// The answers of Homes.Vouch.
const (
	// Confirmed means that no earlier run of the key can have been started.
	Confirmed Vouch = iota
	// VouchNotHome means that another side is the key's home.
	VouchNotHome
	// VouchUnsure means that an earlier run cannot be ruled out yet.
	VouchUnsure
)

// maxEpochs bounds the changes of the declared upstreams that are remembered; more of them within a key's
// lifetime leave the side unsure until the lifetime has passed.
const maxEpochs = 32

// epoch is a set of declared upstreams that was in force until the revision ended.
type epoch struct {
	set   *rendezvous.Set
	ended settings.Revision
	// everyone lists the sides that may have been home of any key, where versions in between were not seen.
	everyone []settings.UpstreamID
}

// formerHomes returns the sides that may have been home of a key in the epoch.
func (e epoch) formerHomes(hash uint64, buf []settings.UpstreamID) []settings.UpstreamID {
	if e.everyone != nil {
		return e.everyone
	}
	home, _ := e.set.Home(hash)
	return append(buf, home)
}

// all returns every side that may have been home of some key in the epoch.
func (e epoch) all() []settings.UpstreamID {
	if e.everyone != nil {
		return e.everyone
	}
	return e.set.IDs()
}

// Change is a new set of declared upstreams of one service.
type Change struct {
	Revision  settings.Revision
	Set       *rendezvous.Set
	Destroyed []settings.UpstreamID
	// Exact says that no version lies between this one and the one before it here.
	Exact bool
	// Affected lists the upstreams whose declarations changed on the way, where Exact is false.
	Affected []settings.UpstreamID
	// UnknownService says that an upstream of an unknown service came and went on the way.
	UnknownService bool
}

// word is another side's statement that it has given up the keys that a revision gave to others.
type word struct {
	from  settings.UpstreamID
	ended settings.Revision
}

// release says whether the speaker could vouch for those keys, and when it spoke.
type release struct {
	covered bool
	at      clock.Instant
}

// Primaries decides which keys of one service a side is home of and can vouch for. The home of a key follows from
// the declared upstreams alone, never from the list of live VMs.
type Primaries struct {
	Self     settings.UpstreamID
	Lifetime time.Duration
	// Started is when this incarnation began; earlier runs of its predecessor are unknown to it.
	Started clock.Instant

	reclaimed bool
	set       *rendezvous.Set
	revision  settings.Revision
	past      []epoch
	releases  map[word]release
	destroyed map[settings.UpstreamID]clock.Instant
	// unsureUntil covers changes that were too many to remember.
	unsureUntil clock.Instant
	// newest is the newest revision that another side spoke of; a side behind it may no longer be home.
	newest settings.Revision
}

// HashKey returns the number by which a key is ranked.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Reclaim notes that the records of the predecessor, which could vouch for its keys, have been taken over whole.
func (h *Primaries) Reclaim() { h.reclaimed = true }

// Apply puts a new set of declared upstreams in force.
func (h *Primaries) Apply(now clock.Instant, c Change) {
	h.noteDestroyed(now, c.Destroyed)
	if c.UnknownService {
		h.unsureUntil = now.Add(h.Lifetime)
	}
	if h.set == nil {
		// What was in force before this process began is unknown, so every other side must be heard.
		h.past = append(h.past, epoch{set: c.Set, ended: c.Revision, everyone: union(c.Set.IDs(), c.Destroyed)})
	} else if e, changed := h.ended(c); changed {
		h.past = append(h.past, e)
	}
	h.set = c.Set
	h.revision = c.Revision
	h.prune(now)
}

// ended returns the epoch that a change closes, if the set can have changed.
func (h *Primaries) ended(c Change) (epoch, bool) {
	e := epoch{set: h.set, ended: c.Revision}
	if c.Exact {
		return e, !slices.Equal(h.set.IDs(), c.Set.IDs())
	}
	e.everyone = union(h.set.IDs(), c.Set.IDs(), c.Affected)
	return e, len(c.Affected) > 0 || !slices.Equal(h.set.IDs(), c.Set.IDs())
}

func union(lists ...[]settings.UpstreamID) []settings.UpstreamID {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}

func (h *Primaries) noteDestroyed(now clock.Instant, ids []settings.UpstreamID) {
	for _, id := range ids {
		if _, known := h.destroyed[id]; known {
			continue
		}
		if h.destroyed == nil {
			h.destroyed = make(map[settings.UpstreamID]clock.Instant)
		}
		h.destroyed[id] = now
	}
}

// prune forgets epochs whose former homes have all let go for a key's lifetime.
func (h *Primaries) prune(now clock.Instant) {
	kept := h.past[:0]
	for _, e := range h.past {
		if !h.over(now, e) {
			kept = append(kept, e)
		}
	}
	h.past = kept
	h.forgetWords()
	if len(h.past) <= maxEpochs {
		return
	}
	h.past = h.past[len(h.past)-maxEpochs:]
	h.unsureUntil = now.Add(h.Lifetime)
}

// forgetWords drops the words about epochs that are over.
func (h *Primaries) forgetWords() {
	for key := range h.releases {
		if !slices.ContainsFunc(h.past, func(e epoch) bool { return e.ended == key.ended }) {
			delete(h.releases, key)
		}
	}
}

func (h *Primaries) over(now clock.Instant, e epoch) bool {
	for _, id := range e.all() {
		if id != h.Self && !h.lapsed(now, id, e.ended) {
			return false
		}
	}
	return true
}

// lapsed reports whether every key that a former home may have run has outlived its lifetime.
func (h *Primaries) lapsed(now clock.Instant, id settings.UpstreamID, ended settings.Revision) bool {
	if r, ok := h.releases[word{from: id, ended: ended}]; ok {
		return now.Sub(r.at) >= h.Lifetime
	}
	at, gone := h.destroyed[id]
	return gone && now.Sub(at) >= h.Lifetime
}

// AddReleaseAck notes another side's word: it runs none of the keys that the revision ended gave to others. Current is the
// revision in force there, and covered says whether it could vouch for those keys.
func (h *Primaries) AddReleaseAck(now clock.Instant, from settings.UpstreamID, ended, current settings.Revision, covered bool) {
	h.newest = max(h.newest, current)
	key := word{from: from, ended: ended}
	if have, ok := h.releases[key]; ok && (have.covered || !covered) {
		return
	}
	if h.releases == nil {
		h.releases = make(map[word]release)
	}
	h.releases[key] = release{covered: covered, at: now}
}

// Covered reports whether this side can vouch for every key that is or was its own.
func (h *Primaries) Covered(now clock.Instant) bool {
	return h.CoveredBefore(now, h.revision+1)
}

// CoveredBefore reports whether this side could vouch for its keys until a revision ended their epoch. Only earlier
// epochs count, so that sides which wait for each other's word about one revision do not wait for ever.
func (h *Primaries) CoveredBefore(now clock.Instant, ended settings.Revision) bool {
	if !h.remembers(now) {
		return false
	}
	for _, e := range h.past {
		if e.ended < ended && !h.allSettled(now, e.all(), e.ended) {
			return false
		}
	}
	return true
}

// remembers reports whether this process knows every run since the longest-lived key began.
func (h *Primaries) remembers(now clock.Instant) bool {
	if !h.reclaimed && now.Sub(h.Started) < h.Lifetime {
		return false
	}
	return !now.Before(h.unsureUntil)
}

func (h *Primaries) allSettled(now clock.Instant, ids []settings.UpstreamID, ended settings.Revision) bool {
	for _, id := range ids {
		if id != h.Self && !h.settled(now, id, ended) {
			return false
		}
	}
	return true
}

// Word is a statement that is still missing: from a side, about the keys that a revision took from it.
type Word struct {
	From  settings.UpstreamID
	Ended settings.Revision
}

// MissingAcks returns the words that are still missing.
func (h *Primaries) MissingAcks(now clock.Instant) []Word {
	var words []Word
	for _, e := range h.past {
		for _, id := range e.all() {
			if id != h.Self && !h.heard(now, id, e.ended) {
				words = append(words, Word{From: id, Ended: e.ended})
			}
		}
	}
	return words
}

// heard reports whether a former home has let go, whether or not it could vouch.
func (h *Primaries) heard(now clock.Instant, id settings.UpstreamID, ended settings.Revision) bool {
	_, ok := h.releases[word{from: id, ended: ended}]
	return ok || h.lapsed(now, id, ended)
}

// settled reports whether a former home has let go and its records are here or have lapsed.
func (h *Primaries) settled(now clock.Instant, id settings.UpstreamID, ended settings.Revision) bool {
	if h.releases[word{from: id, ended: ended}].covered {
		return true
	}
	return h.lapsed(now, id, ended)
}

// Primary returns the home of a key.
func (h *Primaries) Primary(key string) (settings.UpstreamID, bool) {
	if h.set == nil {
		return "", false
	}
	return h.set.Home(HashKey(key))
}

// Confirm says whether this side may run a key that it has no record of.
func (h *Primaries) Confirm(now clock.Instant, key string) Vouch {
	home, ok := h.Primary(key)
	if !ok || home != h.Self {
		return VouchNotHome
	}
	if !h.remembers(now) || h.revision < h.newest {
		return VouchUnsure
	}
	var buf [1]settings.UpstreamID
	for _, e := range h.past {
		if !h.allSettled(now, e.formerHomes(HashKey(key), buf[:0]), e.ended) {
			return VouchUnsure
		}
	}
	return Confirmed
}

// TimeToConfirm returns how long it may take until this side can vouch for all its keys.
func (h *Primaries) TimeToConfirm(now clock.Instant) time.Duration {
	if h.reclaimed {
		return time.Second
	}
	return max(time.Second, h.Lifetime-now.Sub(h.Started))
}

// Revision returns the revision of the set in force.
func (h *Primaries) Revision() settings.Revision { return h.revision }
