package revision

import (
	"fmt"
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
	fleet     *settings.Fleet
	refused   Version
	reason    string
	diverged  bool
	watchers  []func(Change)
}

// Change is an accepted version and the way to it from the one before.
type Change struct {
	Version Version
	Fleet   *settings.Fleet
	// Exact says that no version lies between this one and the one before it here.
	Exact bool
	// Documents are those that changed on the way.
	Documents []settings.Document
}

// Watch calls f for the version in force, if any, and for each one accepted later, in order; f must not call the store.
func (s *Store) Watch(f func(Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
	if s.fleet != nil {
		f(Change{Version: s.version, Fleet: s.fleet})
	}
}

// Current returns the version in force; the declarations are nil while there is none.
func (s *Store) Current() (Version, *settings.Fleet) {
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
	candidate := s.candidate(d)
	if d.To.Digest != 0 && digest(candidate) != d.To.Digest {
		return Gap, nil
	}
	d.To.Digest = digest(candidate)
	fleet, err := settings.FromDocuments(values(candidate))
	if err != nil {
		s.refused = d.To
		s.reason = err.Error()
		return Invalid, &InvalidError{Version: d.To, Problems: err}
	}
	s.accept(d, candidate, fleet)
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

// candidate builds the documents that the delta leads to.
func (s *Store) candidate(d Delta) map[settings.DocumentKey]settings.Document {
	next := make(map[settings.DocumentKey]settings.Document, len(s.documents)+len(d.Documents))
	if d.From > 0 {
		for key, doc := range s.documents {
			next[key] = doc
		}
	}
	for _, doc := range d.Documents {
		if doc.Deleted {
			delete(next, doc.Key)
			continue
		}
		// An older change of a document may come again in a delta that reaches further back.
		if next[doc.Key].Revision <= doc.Revision {
			next[doc.Key] = doc
		}
	}
	return next
}

func (s *Store) accept(d Delta, candidate map[settings.DocumentKey]settings.Document, fleet *settings.Fleet) {
	if d.From == 0 {
		// A whole version names no deletions, so no delta may start before it.
		s.compacted = d.To.Revision
		s.tombstones = nil
	}
	if s.tombstones == nil {
		s.tombstones = make(map[settings.DocumentKey]settings.Document)
	}
	for _, doc := range d.Documents {
		if doc.Deleted {
			s.tombstones[doc.Key] = doc
			continue
		}
		delete(s.tombstones, doc.Key)
	}
	if len(s.tombstones) > maxTombstones {
		s.tombstones = nil
		s.compacted = d.To.Revision
	}
	change := Change{
		Version:   d.To,
		Fleet:     fleet,
		Exact:     d.From > 0 && d.To.Revision == s.version.Revision+1,
		Documents: d.Documents,
	}
	s.documents = candidate
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

// Refused reports whether exactly this version was already refused.
func (s *Store) Refused(r settings.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused.Revision == r && r > s.version.Revision
}

func digest(docs map[settings.DocumentKey]settings.Document) Digest {
	var sum uint64
	for key, doc := range docs {
		h := xxhash.New()
		_, _ = h.WriteString(string(key))
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(doc.Value)
		sum ^= h.Sum64()
	}
	// Zero stands for an unknown digest.
	if sum == 0 {
		return 1
	}
	return Digest(sum)
}

func values(docs map[settings.DocumentKey]settings.Document) []settings.Document {
	list := make([]settings.Document, 0, len(docs))
	for _, doc := range docs {
		list = append(list, doc)
	}
	return list
}
