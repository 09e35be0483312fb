package revision

import (
	"fmt"
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/settings"
)

// Digest identifies the content of a version, whatever order its documents came in.
type Digest uint64

// Version names one whole set of declarations.
type Version struct {
	Revision settings.Revision `json:"revision"`
	Digest   Digest            `json:"digest"`
}

// Delta carries the documents that changed after From, or every document when From is zero.
type Delta struct {
	From      settings.Revision   `json:"from"`
	To        Version             `json:"to"`
	Documents []settings.Document `json:"documents"`
}

// Result says what became of an offered delta.
type Result int

// The results of an offer.
const (
	Accepted Result = iota
	Stale
	Gap
	Invalid
	Diverged
)

func (r Result) String() string {
	return [...]string{"accepted", "stale", "gap", "invalid", "diverged"}[r]
}

// InvalidError reports a version that was refused whole.
type InvalidError struct {
	Version  Version
	Problems error
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("revision %d refused: %v", e.Version.Revision, e.Problems)
}

// Status is what a process says of its declarations in its state dump.
type Status struct {
	Version  Version `json:"version"`
	Refused  Version `json:"refused"`
	Reason   string  `json:"reason,omitempty"`
	Diverged bool    `json:"diverged"`
}

// maxTombstones bounds the deleted documents remembered for deltas.
const maxTombstones = 4096

// Store holds the accepted version; its zero value holds none.
type Store struct {
	mu         sync.Mutex
	version    Version
	documents  map[settings.DocumentKey]settings.Document
	tombstones map[settings.DocumentKey]settings.Document
	// compacted is the newest revision whose tombstone was forgotten.
	compacted settings.Revision
	// sum is the exclusive or of the documents' hashes.
	sum      uint64
	fleet    *settings.Declarations
	refused  Version
	reason   string
	diverged bool
	watchers []func(Change)
}

// Change is an accepted version and the way to it from the one before.
type Change struct {
	Version Version
	Fleet   *settings.Declarations
	// Consecutive says that no version lies between this one and the one before it here.
	Consecutive bool
	// Complete says that Documents are all there are and not only those that changed.
	Complete bool
	// Documents are those that changed on the way.
	Documents []settings.Document
}

// UpstreamsChanged reports whether the set of upstreams of any service can have changed.
func (c Change) UpstreamsChanged() bool {
	if c.Complete {
		return true
	}
	return slices.ContainsFunc(c.Documents, func(d settings.Document) bool {
		return settings.IsUpstream(d.Key) || settings.IsService(d.Key)
	})
}

// Watch calls f for the version in force, if any, and for each one accepted later, in order; f must not call the store.
func (s *Store) Watch(f func(Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
	if s.fleet != nil {
		f(Change{Version: s.version, Fleet: s.fleet, Complete: true})
	}
}

// Current returns the version in force; the declarations are nil while there is none.
func (s *Store) Current() (Version, *settings.Declarations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.fleet
}

// Status describes the store for operators.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Version: s.version, Refused: s.refused, Reason: s.reason, Diverged: s.diverged}
}

// Since returns what changed after a revision, or everything when the changes are no longer known.
func (s *Store) Since(from settings.Revision) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Delta{From: from, To: s.version}
	if from < s.compacted || from > s.version.Revision {
		d.From = 0
	}
	d.Documents = appendNewer(d.Documents, s.documents, d.From)
	if d.From > 0 {
		d.Documents = appendNewer(d.Documents, s.tombstones, d.From)
	}
	sort.Slice(d.Documents, func(i, j int) bool { return d.Documents[i].Key < d.Documents[j].Key })
	return d
}

func appendNewer(to []settings.Document, from map[settings.DocumentKey]settings.Document, after settings.Revision) []settings.Document {
	for _, doc := range from {
		if doc.Revision > after {
			to = append(to, doc)
		}
	}
	return to
}

// Offer applies a delta if it leads to a valid newer version; the error explains Invalid.
func (s *Store) Offer(d Delta) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result, done := s.compare(d); done {
		return result, nil
	}
	changed := s.changed(d)
	sum := s.digestAfter(d, changed)
	if d.To.Digest != 0 && sum != d.To.Digest {
		return Gap, nil
	}
	d.To.Digest = sum
	base := s.fleet
	if d.From == 0 || base == nil {
		base = &settings.Declarations{}
	}
	fleet, err := base.With(changed)
	if err != nil {
		s.refused = d.To
		s.reason = err.Error()
		return Invalid, &InvalidError{Version: d.To, Problems: err}
	}
	s.accept(d, changed, fleet)
	return Accepted, nil
}

// compare settles the offers that need no look at the documents.
func (s *Store) compare(d Delta) (Result, bool) {
	if d.To.Revision < s.version.Revision {
		return Stale, true
	}
	if d.To.Revision == s.version.Revision && s.fleet != nil {
		s.diverged = d.To.Digest != 0 && d.To.Digest != s.version.Digest
		if s.diverged {
			return Diverged, true
		}
		return Stale, true
	}
	if d.From > s.version.Revision {
		return Gap, true
	}
	return Accepted, false
}

// changed returns the documents of a delta that are newer than what is here; an older change of a document may come
// again in a delta that reaches further back.
func (s *Store) changed(d Delta) []settings.Document {
	if d.From == 0 {
		return d.Documents
	}
	var list []settings.Document
	for _, doc := range d.Documents {
		if s.documents[doc.Key].Revision <= doc.Revision {
			list = append(list, doc)
		}
	}
	return list
}

// digestAfter returns the digest of the content that the change leads to.
func (s *Store) digestAfter(d Delta, changed []settings.Document) Digest {
	var sum uint64
	if d.From > 0 {
		sum = s.sum
	}
	for _, doc := range changed {
		if have, ok := s.documents[doc.Key]; ok && d.From > 0 {
			sum ^= hash(have)
		}
		if !doc.Deleted {
			sum ^= hash(doc)
		}
	}
	return digestOf(sum)
}

func (s *Store) accept(d Delta, changed []settings.Document, fleet *settings.Declarations) {
	if d.From == 0 {
		// A whole version names no deletions, so no delta may start before it.
		s.compacted = d.To.Revision
		s.tombstones = nil
		s.documents = nil
		s.sum = 0
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
		s.compacted = d.To.Revision
	}
	change := Change{
		Version:     d.To,
		Fleet:       fleet,
		Consecutive: d.From > 0 && d.To.Revision == s.version.Revision+1,
		Complete:    d.From == 0,
		Documents:   changed,
	}
	s.fleet = fleet
	s.version = d.To
	s.diverged = false
	if s.refused.Revision <= d.To.Revision {
		s.refused = Version{}
		s.reason = ""
	}
	for _, f := range s.watchers {
		f(change)
	}
}

// put takes one document in and keeps the digest in step.
func (s *Store) put(doc settings.Document) {
	if have, ok := s.documents[doc.Key]; ok {
		s.sum ^= hash(have)
	}
	if doc.Deleted {
		delete(s.documents, doc.Key)
		s.tombstones[doc.Key] = doc
		return
	}
	delete(s.tombstones, doc.Key)
	s.documents[doc.Key] = doc
	s.sum ^= hash(doc)
}

// Refused reports whether exactly this version was already refused.
func (s *Store) Refused(r settings.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused.Revision == r && r > s.version.Revision
}

// hash is one document's part of the digest.
func hash(doc settings.Document) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(doc.Key))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(doc.Value)
	return h.Sum64()
}

// digestOf keeps zero free, which stands for an unknown digest.
func digestOf(sum uint64) Digest { return Digest(max(sum, 1)) }
