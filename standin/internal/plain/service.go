package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"rattantrack.dev/standin/internal/faults"
)

const maxBody = 1 << 20

// Faults are switched on by a test's call to /faults.
type Faults struct {
	// DelayMS is how long a call takes.
	DelayMS int `json:"delay_ms"`
	// CutAfterRun runs each call and then cuts the connection without an answer.
	CutAfterRun bool `json:"cut_after_run"`
}

// Run is one call that was run.
type Run struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Answer is the body of an answer.
type Answer struct {
	Upstream string `json:"upstream"`
	Run      int    `json:"run"`
	Echo     string `json:"echo"`
}

// Service counts every call that it runs.
type Service struct {
	Name string

	faults faults.Switch[Faults]
	mu     sync.Mutex
	runs   []Run
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &s.faults)
	mux.HandleFunc("GET /runs", s.list)
	mux.HandleFunc("/", s.run)
	return mux
}

// Runs returns the calls run so far.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

func (s *Service) list(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{Method: r.Method, Path: r.URL.Path, Body: string(body)})
	answer := Answer{Upstream: s.Name, Run: len(s.runs), Echo: string(body)}
	s.mu.Unlock()
	present := s.faults.Get()
	// What was begun is done, whether or not anybody waits for it.
	time.Sleep(time.Duration(present.DelayMS) * time.Millisecond)
	if present.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
