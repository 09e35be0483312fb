package vmlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"rattantrack.dev/core/configuration"
)

// Service shows the list as it was some time ago.
type Service struct {
	Lag time.Duration

	mu   sync.Mutex
	past []version
}

// version is a list and when it was set.
type version struct {
	at  time.Time
	vms []configuration.VM
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
	s.past = append(s.past, version{at: time.Now(), vms: vms})
}

// List returns the list as it is shown now.
func (s *Service) List() []configuration.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := time.Now().Add(-s.Lag)
	for i := len(s.past) - 1; i >= 0; i-- {
		if i == 0 || !s.past[i].at.After(shown) {
			return s.past[i].vms
		}
	}
	return nil
}

func (s *Service) get(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(configuration.VMs{VMs: s.List()})
}

func (s *Service) set(w http.ResponseWriter, r *http.Request) {
	var answer configuration.VMs
	if err := json.NewDecoder(r.Body).Decode(&answer); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	s.Set(answer.VMs)
}
