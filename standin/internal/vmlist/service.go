package vmlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"rattantrack.dev/core/configuration"
)

// Service serves a VM list that shows changes with a delay.
type Service struct {
	// Lag is the delay.
	Lag time.Duration

	mu       sync.Mutex
	versions []version
}

// version is a list with the time at which it was set.
type version struct {
	setAt time.Time
	vms   []configuration.VM
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", s.get)
	mux.HandleFunc("POST /set", s.set)
	return mux
}

// Set replaces the list.
func (s *Service) Set(vms []configuration.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version{setAt: time.Now(), vms: vms})
}

// List returns the latest list that was set at least Lag ago, or else the first one.
func (s *Service) List() []configuration.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-s.Lag)
	for i := len(s.versions) - 1; i >= 0; i-- {
		if i == 0 || !s.versions[i].setAt.After(cutoff) {
			return s.versions[i].vms
		}
	}
	return nil
}

func (s *Service) get(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(configuration.VMs{VMs: s.List()})
}

func (s *Service) set(w http.ResponseWriter, r *http.Request) {
	var list configuration.VMs
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	s.Set(list.VMs)
}
