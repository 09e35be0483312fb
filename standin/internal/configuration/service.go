package configuration

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"rattantrack.dev/core/configuration"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/standin/internal/faults"
)

// Faults are the faults that POST /faults sets.
type Faults struct {
	// Down fails every read with status 503.
	Down bool `json:"down"`
	// StaleRevision, if not 0, hides the later revisions from readers.
	StaleRevision settings.Revision `json:"stale_revision"`
	// DelayMS is the duration of each read in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Service serves versioned documents and counts the reads.
type Service struct {
	mu       sync.Mutex
	revision settings.Revision
	// history holds the documents of every revision, for stale responses.
	history map[settings.Revision][]settings.Document
	reads   int
	faults  faults.Switch[Faults]
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/changes", s.changes)
	mux.HandleFunc("GET /reads", s.handleReads)
	mux.Handle("POST /faults", &s.faults)
	mux.HandleFunc("POST /publish", s.publish)
	return mux
}

// Publish publishes changed documents as the next revision, as the operators' tools do at the real service.
func (s *Service) Publish(changed []settings.Document) settings.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	documents := make(map[settings.DocumentKey]settings.Document)
	for _, d := range s.history[s.revision] {
		documents[d.Key] = d
	}
	s.revision++
	for _, d := range changed {
		d.Revision = s.revision
		documents[d.Key] = d
	}
	list := make([]settings.Document, 0, len(documents))
	for _, d := range documents {
		list = append(list, d)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	if s.history == nil {
		s.history = make(map[settings.Revision][]settings.Document)
	}
	s.history[s.revision] = list
	return s.revision
}

func (s *Service) publish(w http.ResponseWriter, r *http.Request) {
	var docs []settings.Document
	if err := json.NewDecoder(r.Body).Decode(&docs); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(s.Publish(docs))
}

func (s *Service) changes(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	s.mu.Lock()
	s.reads++
	active := s.faults.Get()
	changes := s.changesSince(settings.Revision(since), active)
	s.mu.Unlock()
	time.Sleep(time.Duration(active.DelayMS) * time.Millisecond)
	if active.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(changes)
}

// changesSince returns the documents that changed after a revision, or all of them since revision 0. The caller holds the
// lock.
func (s *Service) changesSince(since settings.Revision, f Faults) configuration.Changes {
	current := s.revision
	if f.StaleRevision > 0 {
		current = min(current, f.StaleRevision)
	}
	c := configuration.Changes{Revision: current, Complete: since == 0}
	for _, d := range s.history[current] {
		if d.Revision > since && !(c.Complete && d.Deleted) {
			c.Documents = append(c.Documents, d)
		}
	}
	return c
}

// Reads returns the number of reads so far.
func (s *Service) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *Service) handleReads(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Reads())
}
