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

// Faults are switched on by a test's call to /faults.
type Faults struct {
	// Down answers every read with status 503.
	Down bool `json:"down"`
	// StaleRevision answers as if no later revision existed, where it is above zero.
	StaleRevision settings.Revision `json:"stale_revision"`
	DelayMS       int               `json:"delay_ms"`
}

// Service holds documents and counts how often it is read.
type Service struct {
	mu       sync.Mutex
	revision settings.Revision
	// history holds the documents of every revision, for stale answers.
	history map[settings.Revision][]settings.Document
	reads   int
	faults  faults.Switch[Faults]
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/changes", s.changes)
	mux.HandleFunc("GET /reads", s.countReads)
	mux.Handle("POST /faults", &s.faults)
	mux.HandleFunc("POST /publish", s.publish)
	return mux
}

// Publish puts documents in force as the next revision; it is what the operators' own tools do.
func (s *Service) Publish(changed []settings.Document) settings.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[settings.DocumentKey]settings.Document)
	for _, d := range s.history[s.revision] {
		next[d.Key] = d
	}
	s.revision++
	for _, d := range changed {
		d.Revision = s.revision
		next[d.Key] = d
	}
	list := make([]settings.Document, 0, len(next))
	for _, d := range next {
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
	present := s.faults.Get()
	answer := s.answer(settings.Revision(since), present)
	s.mu.Unlock()
	time.Sleep(time.Duration(present.DelayMS) * time.Millisecond)
	if present.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// answer lists what changed after a revision; the caller holds the lock.
func (s *Service) answer(since settings.Revision, f Faults) configuration.Changes {
	at := s.revision
	if f.StaleRevision > 0 {
		at = min(at, f.StaleRevision)
	}
	c := configuration.Changes{Revision: at, Complete: since == 0}
	for _, d := range s.history[at] {
		if d.Revision > since && !(c.Complete && d.Deleted) {
			c.Documents = append(c.Documents, d)
		}
	}
	return c
}

// Reads returns how often the service has been read.
func (s *Service) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *Service) countReads(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Reads())
}
