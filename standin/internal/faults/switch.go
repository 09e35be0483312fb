package faults

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Switch holds the active faults of a stand-in, initially the zero value of F.
type Switch[F any] struct {
	mu     sync.Mutex
	active F
}

// Get returns the active faults.
func (s *Switch[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// ServeHTTP replaces the active faults with those of a JSON body.
func (s *Switch[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f F
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = f
}
