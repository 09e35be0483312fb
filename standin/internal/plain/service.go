package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"rattantrack.dev/standin/internal/faults"
)

const maxBodyBytes = 8 << 20

// Faults are the faults that POST /faults sets.
type Faults struct {
	// DelayMS is the duration of each call in milliseconds.
	DelayMS int `json:"delay_ms"`
	// CutAfterRun runs each call and then closes the connection without a response.
	CutAfterRun bool `json:"cut_after_run"`
	// HeadFields is the number of short header fields that each call is answered with, in a head that does not end, 0 for none.
	HeadFields int `json:"head_fields"`
}

// Run is one recorded call.
type Run struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Response is the body of a response.
type Response struct {
	Upstream string `json:"upstream"`
	// Run is the number of calls run so far, including this one.
	Run  int    `json:"run"`
	Echo string `json:"echo"`
}

// Service records every call that it runs.
type Service struct {
	// Name is the name of the upstream in responses.
	Name string

	faults faults.Switch[Faults]
	mu     sync.Mutex
	runs   []Run
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &s.faults)
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("/", s.runCall)
	return mux
}

// Runs returns the calls that have been run.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Service) runCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{Method: r.Method, Path: r.URL.Path, Body: string(body)})
	response := Response{Upstream: s.Name, Run: len(s.runs), Echo: string(body)}
	s.mu.Unlock()
	active := s.faults.Get()
	// A recorded call runs to its end, also if the client has gone away.
	time.Sleep(time.Duration(active.DelayMS) * time.Millisecond)
	if active.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	if active.HeadFields > 0 {
		writeEndlessHead(w, active.HeadFields)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// writeEndlessHead writes a head of n short fields without its end, and waits until the client has gone.
func writeEndlessHead(w http.ResponseWriter, n int) {
	nc, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	head := []byte("HTTP/1.1 200 OK\r\n")
	for i := range n {
		head = fmt.Appendf(head, "%x:\r\n", i)
	}
	// The client may close the connection at any time.
	_, _ = nc.Write(head)
	_, _ = io.Copy(io.Discard, buffered)
}
