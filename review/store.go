package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store or, in a watch, its removal. Value is base64 in JSON.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store: linearizable, with its complete history.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	address  string
}

func startStore() *store {
	s := &store{items: map[string]item{}, changed: make(chan struct{}), revision: 100}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, mux) }()
	return s
}

// put writes an item, or removes it if value is nil. Its return is the confirmation.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, had := s.items[key]
	if value == nil && !had {
		return
	}
	s.revision++
	it := item{Key: key, Revision: s.revision, Created: s.revision, Removed: value == nil}
	if had {
		it.Created = old.Created
	}
	if value == nil {
		delete(s.items, key)
	} else {
		it.Value, _ = json.Marshal(value)
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("path-prefix")) && key > q.Get("after") {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > 500
	if more {
		list = list[:500]
	}
	answer(w, map[string]any{"items": list, "has-more": more, "as-of": s.revision})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, it)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, it := range s.history[i:] {
			if strings.HasPrefix(it.Key, q.Get("path-prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "as-of": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, map[string]any{"events": events, "as-of": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
