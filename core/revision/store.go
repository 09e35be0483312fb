package revision

import (
	"fmt"
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/settings"
)

// Digest identifies the content of a version, whatever the order of its documents.
type Digest uint64

// Version identifies one complete set of declarations. A Digest of zero means that the digest is unknown.
type Version struct {
	Revision settings.Revision `json:"revision"`
	Digest   Digest            `json:"digest"`
}

// Delta contains the documents that changed after From, or all documents if From is zero.
type Delta struct {
	From      settings.Revision   `json:"from"`
	To        Version             `json:"to"`
	Documents []settings.Document `json:"documents"`
}

// Result is the outcome of an offered delta.
type Result int

// The outcomes of an offer.
const (
	Accepted Result = iota
	// Stale means that the offered version is not newer than the one in force.
	Stale
	// Gap means that the delta cannot be applied to the version in force.
	Gap
	// Invalid means that a declaration of the version is invalid.
	Invalid
	// Diverged means that the offered version has the revision in force with another content.
	Diverged
)

func (r Result) String() string {
	return [...]string{"accepted", "stale", "gap", "invalid", "diverged"}[r]
}

// InvalidError reports a version that was refused because a declaration in it is invalid.
type InvalidError struct {
	Version  Version
	Problems error
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("revision %d refused: %v", e.Version.Revision, e.Problems)
}

// Status is the state of a store in a dump.
type Status struct {
	Version  Version `json:"version"`
	Refused  Version `json:"refused"`
	Reason   string  `json:"reason,omitempty"`
	Diverged bool    `json:"diverged"`
}

// maxTombstones bounds the deleted documents that are kept for deltas.
const maxTombstones = 4096

// Store holds the accepted version; its zero value holds none.
type Store struct {
	mu         sync.Mutex
	version    Version
	documents  map[settings.DocumentKey]settings.Document
	tombstones map[settings.DocumentKey]settings.Document
	// compacted is the newest revision whose tombstones were dropped. No delta may start before it.
	compacted settings.Revision
	// hashSum is the exclusive or of the documents' hashes.
	hashSum      uint64
	declarations *settings.Declarations
	refused      Version
	reason       string
	diverged     bool
	watchers     []func(Change)
}

// Change is an accepted version and its difference from the previous one.
type Change struct {
	Version      Version
	Declarations *settings.Declarations
	// Consecutive is set if the version came as a delta and directly follows the previous one.
	Consecutive bool
	// Complete is set if Documents does not limit the change: any declaration may differ from the previous version.
	Complete bool
	// Documents are the changed documents, or all documents of a complete delta. It is empty if a watcher is called
	// with the version that was in force before it was added.
	Documents []settings.Document
}

// UpstreamsChanged reports whether the set of upstreams of any service may have changed.
func (c Change) UpstreamsChanged() bool {
	if c.Complete {
		return true
	}
	return slices.ContainsFunc(c.Documents, func(d settings.Document) bool {
		return settings.IsUpstream(d.Key) || settings.IsService(d.Key)
	})
}

// Watch calls f with the version in force, if any, and with each version accepted later, in order; f must not call the
// store.
func (s *Store) Watch(f func(Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
	if s.declarations != nil {
		f(Change{Version: s.version, Declarations: s.declarations, Complete: true})
	}
}

// Current returns the version in force and its declarations, which are nil if there is none.
func (s *Store) Current() (Version, *settings.Declarations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.declarations
}

// Status returns the state of the store for a dump.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Version: s.version, Refused: s.refused, Reason: s.reason, Diverged: s.diverged}
}

// Since returns the changes after a revision, or all documents if the store no longer has all of those changes.
func (s *Store) Since(from settings.Revision) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	delta := Delta{From: from, To: s.version}
	if from < s.compacted || from > s.version.Revision {
		delta.From = 0
	}
	delta.Documents = appendNewer(delta.Documents, s.documents, delta.From)
	if delta.From > 0 {
		delta.Documents = appendNewer(delta.Documents, s.tombstones, delta.From)
	}
	sort.Slice(delta.Documents, func(i, j int) bool { return delta.Documents[i].Key < delta.Documents[j].Key })
	return delta
}

// appendNewer appends the documents that changed after a revision.
func appendNewer(
	list []settings.Document, from map[settings.DocumentKey]settings.Document, after settings.Revision,
) []settings.Document {
	for _, doc := range from {
		if doc.Revision > after {
			list = append(list, doc)
		}
	}
	return list
}

// Offer applies a delta if it leads to a valid, newer version. The error is set for Invalid only.
func (s *Store) Offer(delta Delta) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result, done := s.precheck(delta); done {
		return result, nil
	}
	changed := s.newDocuments(delta)
	sum := s.digestAfter(delta, changed)
	if delta.To.Digest != 0 && sum != delta.To.Digest {
		return Gap, nil
	}
	delta.To.Digest = sum
	base := s.declarations
	if delta.From == 0 || base == nil {
		base = &settings.Declarations{}
	}
	declarations, err := base.With(changed)
	if err != nil {
		s.refused = delta.To
		s.reason = err.Error()
		return Invalid, &InvalidError{Version: delta.To, Problems: err}
	}
	s.accept(delta, changed, declarations)
	return Accepted, nil
}

// precheck decides on the offers whose result follows from the revisions and the digest alone. For all others it
// returns false.
func (s *Store) precheck(delta Delta) (Result, bool) {
	if delta.To.Revision < s.version.Revision {
		return Stale, true
	}
	if delta.To.Revision == s.version.Revision && s.declarations != nil {
		s.diverged = delta.To.Digest != 0 && delta.To.Digest != s.version.Digest
		if s.diverged {
			return Diverged, true
		}
		return Stale, true
	}
	if delta.From > s.version.Revision {
		return Gap, true
	}
	return Accepted, false
}

// newDocuments returns the documents of a delta that are not older than the stored ones. A delta that starts at an
// earlier revision may repeat older changes.
func (s *Store) newDocuments(delta Delta) []settings.Document {
	if delta.From == 0 {
		return delta.Documents
	}
	var list []settings.Document
	for _, doc := range delta.Documents {
		if s.documents[doc.Key].Revision <= doc.Revision {
			list = append(list, doc)
		}
	}
	return list
}

// digestAfter returns the digest of the content that the change leads to.
func (s *Store) digestAfter(delta Delta, changed []settings.Document) Digest {
	var sum uint64
	if delta.From > 0 {
		sum = s.hashSum
	}
	for _, doc := range changed {
		if have, ok := s.documents[doc.Key]; ok && delta.From > 0 {
			sum ^= hash(have)
		}
		if !doc.Deleted {
			sum ^= hash(doc)
		}
	}
	return digestOf(sum)
}

func (s *Store) accept(delta Delta, changed []settings.Document, declarations *settings.Declarations) {
	if delta.From == 0 {
		// A complete version contains no deletions, so no delta may start before it.
		s.compacted = delta.To.Revision
		s.tombstones = nil
		s.documents = nil
		s.hashSum = 0
	}
	if s.documents == nil {
		s.documents = make(map[settings.DocumentKey]settings.Document)
	}
	if s.tombstones == nil {
		s.tombstones = make(map[settings.DocumentKey]settings.Document)
	}
	for _, doc := range changed {
		s.put(doc)
	}
	if len(s.tombstones) > maxTombstones {
		s.tombstones = nil
		s.compacted = delta.To.Revision
	}
	change := Change{
		Version:      delta.To,
		Declarations: declarations,
		Consecutive:  delta.From > 0 && delta.To.Revision == s.version.Revision+1,
		Complete:     delta.From == 0,
		Documents:    changed,
	}
	s.declarations = declarations
	s.version = delta.To
	s.diverged = false
	if s.refused.Revision <= delta.To.Revision {
		s.refused = Version{}
		s.reason = ""
	}
	for _, f := range s.watchers {
		f(change)
	}
}

// put stores or deletes one document and updates the sum.
func (s *Store) put(doc settings.Document) {
	if have, ok := s.documents[doc.Key]; ok {
		s.hashSum ^= hash(have)
	}
	if doc.Deleted {
		delete(s.documents, doc.Key)
		s.tombstones[doc.Key] = doc
		return
	}
	delete(s.tombstones, doc.Key)
	s.documents[doc.Key] = doc
	s.hashSum ^= hash(doc)
}

// Refused reports whether this revision was the last one refused and no newer one has been accepted.
func (s *Store) Refused(revision settings.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused.Revision == revision && revision > s.version.Revision
}

// hash returns the contribution of one document to the digest.
func hash(doc settings.Document) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(doc.Key))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(doc.Value)
	return h.Sum64()
}

// digestOf returns the digest for a sum. Zero is not used because it stands for an unknown digest.
func digestOf(sum uint64) Digest { return Digest(max(sum, 1)) }
