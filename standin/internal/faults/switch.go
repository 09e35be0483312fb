package faults

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Switch holds the faults of one stand-in; its zero value has none.
type Switch[F any] struct {
	mu      sync.Mutex
	present F
}

// Get returns the faults that are switched on.
func (s *Switch[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.present
}

// ServeHTTP replaces the faults by those of a JSON body.
func (s *Switch[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f F
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present = f
}
