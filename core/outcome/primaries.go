package outcome

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// Confirmation is whether a side can confirm that a key without a record here has no earlier run.
type Confirmation int

// The results of Primaries.Confirm.
const (
	// Confirmed means that no earlier run of the key can have been started.
	Confirmed Confirmation = iota
	// NotPrimary means that another side is the key's primary.
	NotPrimary
	// Unconfirmed means that an earlier run cannot be ruled out yet.
	Unconfirmed
)

// maxEpochs bounds the recorded changes of the declared upstreams. After more changes within a key's lifetime the side
// confirms no key until the lifetime has passed.
const maxEpochs = 32

// epoch is a set of declared upstreams that was in force, with the revision that ended it and moved keys to other sides.
type epoch struct {
	set     *rendezvous.Set
	endedBy settings.Revision
	// possiblePrimaries lists the sides that may have been primary of any key; it is set if the declared upstreams were
	// not known throughout the epoch.
	possiblePrimaries []settings.UpstreamID
}

// previousPrimaries returns the sides that may have been primary of a key in the epoch.
func (e epoch) previousPrimaries(hash uint64, buf []settings.UpstreamID) []settings.UpstreamID {
	if e.possiblePrimaries != nil {
		return e.possiblePrimaries
	}
	primary, _ := e.set.Primary(hash)
	return append(buf, primary)
}

// allPrimaries returns every side that may have been primary of some key in the epoch.
func (e epoch) allPrimaries() []settings.UpstreamID {
	if e.possiblePrimaries != nil {
		return e.possiblePrimaries
	}
	return e.set.IDs()
}

// Change is a new set of declared upstreams of one service.
type Change struct {
	Revision  settings.Revision
	Set       *rendezvous.Set
	Destroyed []settings.UpstreamID
	// Consecutive is true when no version was skipped since the previous Change.
	Consecutive bool
	// Affected lists the upstreams whose declarations changed; it matters only if Consecutive is false.
	Affected []settings.UpstreamID
	// UnknownService is true when an upstream changed whose service is not known.
	UnknownService bool
}

// ackID identifies a release acknowledgement: the acknowledging side, and the revision that moved its keys to others.
type ackID struct {
	from    settings.UpstreamID
	movedBy settings.Revision
}

// releaseAck is another side's acknowledgement that it no longer runs the moved keys. Covered means that it could confirm
// keys as their primary until then.
type releaseAck struct {
	covered    bool
	receivedAt clock.Instant
}

// Primaries decides which keys of one service a side is primary of and can confirm to have no earlier run. A key's
// primary depends on the declared upstreams alone and never on the list of live VMs.
type Primaries struct {
	Self     settings.UpstreamID
	Lifetime time.Duration
	// Started is when this incarnation started; it has no record of the runs of its predecessor.
	Started clock.Instant

	recovered  bool
	set        *rendezvous.Set
	revision   settings.Revision
	pastEpochs []epoch
	acks       map[ackID]releaseAck
	destroyed  map[settings.UpstreamID]clock.Instant
	// unconfirmedUntil is when keys can be confirmed again after a change that epochs do not record.
	unconfirmedUntil clock.Instant
	// newestRevision is the newest revision reported by another side; a side with an older one may no longer be primary.
	newestRevision settings.Revision
}

// HashKey returns the hash of a key for rendezvous hashing.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// MarkRecovered records that the complete records of a predecessor that could confirm its keys have been imported.
func (p *Primaries) MarkRecovered() { p.recovered = true }

// Apply puts a new set of declared upstreams in force.
func (p *Primaries) Apply(now clock.Instant, c Change) {
	p.recordDestroyed(now, c.Destroyed)
	if c.UnknownService {
		p.unconfirmedUntil = now.Add(p.Lifetime)
	}
	if p.set == nil {
		// The upstreams in force before this process started are unknown, so every other side must acknowledge.
		p.pastEpochs = append(p.pastEpochs, epoch{set: c.Set, endedBy: c.Revision, possiblePrimaries: union(c.Set.IDs(), c.Destroyed)})
	} else if e, changed := p.endedEpoch(c); changed {
		p.pastEpochs = append(p.pastEpochs, e)
	}
	p.set = c.Set
	p.revision = c.Revision
	p.prune(now)
}

// endedEpoch returns the epoch that a change ends, and whether the set can have changed.
func (p *Primaries) endedEpoch(c Change) (epoch, bool) {
	e := epoch{set: p.set, endedBy: c.Revision}
	if c.Consecutive {
		return e, !slices.Equal(p.set.IDs(), c.Set.IDs())
	}
	e.possiblePrimaries = union(p.set.IDs(), c.Set.IDs(), c.Affected)
	return e, len(c.Affected) > 0 || !slices.Equal(p.set.IDs(), c.Set.IDs())
}

func union(lists ...[]settings.UpstreamID) []settings.UpstreamID {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}

func (p *Primaries) recordDestroyed(now clock.Instant, ids []settings.UpstreamID) {
	for _, id := range ids {
		if _, recorded := p.destroyed[id]; recorded {
			continue
		}
		if p.destroyed == nil {
			p.destroyed = make(map[settings.UpstreamID]clock.Instant)
		}
		p.destroyed[id] = now
	}
}

// prune drops epochs whose previous primaries all released their keys or were destroyed at least a key's lifetime ago.
func (p *Primaries) prune(now clock.Instant) {
	kept := p.pastEpochs[:0]
	for _, e := range p.pastEpochs {
		if !p.epochExpired(now, e) {
			kept = append(kept, e)
		}
	}
	p.pastEpochs = kept
	p.pruneAcks()
	if len(p.pastEpochs) <= maxEpochs {
		return
	}
	p.pastEpochs = p.pastEpochs[len(p.pastEpochs)-maxEpochs:]
	p.unconfirmedUntil = now.Add(p.Lifetime)
}

// pruneAcks drops acknowledgements of epochs that are no longer recorded.
func (p *Primaries) pruneAcks() {
	for id := range p.acks {
		if !slices.ContainsFunc(p.pastEpochs, func(e epoch) bool { return e.endedBy == id.movedBy }) {
			delete(p.acks, id)
		}
	}
}

func (p *Primaries) epochExpired(now clock.Instant, e epoch) bool {
	for _, id := range e.allPrimaries() {
		if id != p.Self && !p.keysExpired(now, id, e.endedBy) {
			return false
		}
	}
	return true
}

// keysExpired reports whether the records of all keys that a previous primary may have run have expired: it released the keys
// or was destroyed at least a key's lifetime ago.
func (p *Primaries) keysExpired(now clock.Instant, id settings.UpstreamID, endedBy settings.Revision) bool {
	if ack, ok := p.acks[ackID{from: id, movedBy: endedBy}]; ok {
		return now.Sub(ack.receivedAt) >= p.Lifetime
	}
	destroyedAt, destroyed := p.destroyed[id]
	return destroyed && now.Sub(destroyedAt) >= p.Lifetime
}

// AddReleaseAck records another side's acknowledgement that it runs none of the keys that the revision movedBy moved to
// others. Current is the revision in force there, and covered is whether it could confirm those keys.
func (p *Primaries) AddReleaseAck(now clock.Instant, from settings.UpstreamID, movedBy, current settings.Revision, covered bool) {
	p.newestRevision = max(p.newestRevision, current)
	id := ackID{from: from, movedBy: movedBy}
	if have, ok := p.acks[id]; ok && (have.covered || !covered) {
		return
	}
	if p.acks == nil {
		p.acks = make(map[ackID]releaseAck)
	}
	p.acks[id] = releaseAck{covered: covered, receivedAt: now}
}

// Covered reports whether this side can confirm every key of which it is or was primary.
func (p *Primaries) Covered(now clock.Instant) bool {
	return p.CoveredBefore(now, p.revision+1)
}

// CoveredBefore reports whether this side could confirm its keys until the given revision took effect. Only epochs that ended
// earlier count, so that sides waiting for each other's acknowledgement of one revision do not deadlock.
func (p *Primaries) CoveredBefore(now clock.Instant, revision settings.Revision) bool {
	if !p.historyComplete(now) {
		return false
	}
	for _, e := range p.pastEpochs {
		if e.endedBy < revision && !p.allResolved(now, e.allPrimaries(), e.endedBy) {
			return false
		}
	}
	return true
}

// historyComplete reports whether the recorded runs and epochs cover the last key lifetime.
func (p *Primaries) historyComplete(now clock.Instant) bool {
	if !p.recovered && now.Sub(p.Started) < p.Lifetime {
		return false
	}
	return !now.Before(p.unconfirmedUntil)
}

func (p *Primaries) allResolved(now clock.Instant, ids []settings.UpstreamID, endedBy settings.Revision) bool {
	for _, id := range ids {
		if id != p.Self && !p.resolved(now, id, endedBy) {
			return false
		}
	}
	return true
}

// MissingAck identifies a release acknowledgement that has not been received: the side that must send it, and the
// revision that moved keys from that side.
type MissingAck struct {
	From    settings.UpstreamID
	MovedBy settings.Revision
}

// MissingAcks returns the release acknowledgements that have not been received.
func (p *Primaries) MissingAcks(now clock.Instant) []MissingAck {
	var missing []MissingAck
	for _, e := range p.pastEpochs {
		for _, id := range e.allPrimaries() {
			if id != p.Self && !p.acknowledged(now, id, e.endedBy) {
				missing = append(missing, MissingAck{From: id, MovedBy: e.endedBy})
			}
		}
	}
	return missing
}

// acknowledged reports whether a previous primary has released its keys, even if it could not confirm them.
func (p *Primaries) acknowledged(now clock.Instant, id settings.UpstreamID, endedBy settings.Revision) bool {
	_, ok := p.acks[ackID{from: id, movedBy: endedBy}]
	return ok || p.keysExpired(now, id, endedBy)
}

// resolved reports whether a previous primary has released its keys and their records are here or have expired.
func (p *Primaries) resolved(now clock.Instant, id settings.UpstreamID, endedBy settings.Revision) bool {
	if p.acks[ackID{from: id, movedBy: endedBy}].covered {
		return true
	}
	return p.keysExpired(now, id, endedBy)
}

// Primary returns the primary of a key.
func (p *Primaries) Primary(key string) (settings.UpstreamID, bool) {
	if p.set == nil {
		return "", false
	}
	return p.set.Primary(HashKey(key))
}

// Confirm reports whether this side is primary of a key and can rule out an earlier run of it.
func (p *Primaries) Confirm(now clock.Instant, key string) Confirmation {
	primary, ok := p.Primary(key)
	if !ok || primary != p.Self {
		return NotPrimary
	}
	if !p.historyComplete(now) || p.revision < p.newestRevision {
		return Unconfirmed
	}
	var buf [1]settings.UpstreamID
	for _, e := range p.pastEpochs {
		if !p.allResolved(now, e.previousPrimaries(HashKey(key), buf[:0]), e.endedBy) {
			return Unconfirmed
		}
	}
	return Confirmed
}

// TimeToConfirm returns an estimate of the time until this side can confirm its keys, at least one second. It does not account
// for missing acknowledgements.
func (p *Primaries) TimeToConfirm(now clock.Instant) time.Duration {
	if p.recovered {
		return time.Second
	}
	return max(time.Second, p.Lifetime-now.Sub(p.Started))
}

// Revision returns the revision of the set in force.
func (p *Primaries) Revision() settings.Revision { return p.revision }
