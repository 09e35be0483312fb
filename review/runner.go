package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often a runner writes its entry; the entry is removed after three of them in silence.
const heartbeat = 1200 * time.Millisecond

// runner is a stand-in of a model runner or of a plain service. One runner is one process: a start makes a new one.
type runner struct {
	id, service, zone, version string
	slots, queue               int
	// events and gap shape the stream of one request; work is the time of a plain answer.
	events int
	gap    time.Duration
	work   time.Duration
	// crashes reports whether the runner's process ends as it begins to write an answer to the request.
	crashes func(r *http.Request) bool
	// onCrash is called once the process has ended.
	onCrash func(r *runner)

	store   *store
	rec     *record
	address string
	born    int64
	srv     *http.Server
	ended   atomic.Bool
	leaving atomic.Bool
	down    chan struct{}
	running atomic.Int64

	mu    sync.Mutex
	wrote time.Time
	seq   int
	parts map[string]int
}

// start listens at the address (or a free port if it is empty) and registers the runner.
func (r *runner) start(address string) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		cannotRun("runner %s: %v", r.id, err)
	}
	r.address, r.born, r.down, r.parts = ln.Addr().String(), time.Now().UnixMilli(), make(chan struct{}), map[string]int{}
	r.srv = &http.Server{Handler: r}
	go func() { _ = r.srv.Serve(ln) }()
	r.rec.add("runner %s (%s %s) starts at %s", r.id, r.service, r.version, r.address)
	r.register()
	go func() {
		for {
			select {
			case <-r.down:
				return
			case <-time.After(heartbeat):
				r.register()
			}
		}
	}()
}

func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended.Load() {
		return
	}
	r.seq++
	r.wrote = time.Now()
	state := "ready"
	if r.leaving.Load() {
		state = "draining"
	}
	r.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"cold-remaining-ms": 0, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": r.seq, "born": r.born,
	})
}

// crash ends the process: its channels and its port close, and the store removes its entry after three silent heartbeats.
func (r *runner) crash(why string) {
	if r.ended.Swap(true) {
		return
	}
	close(r.down)
	r.rec.add("runner %s (%s) ends: %s", r.id, r.version, why)
	_ = r.srv.Close()
	r.mu.Lock()
	lapse := time.Until(r.wrote.Add(3 * heartbeat))
	r.mu.Unlock()
	time.AfterFunc(lapse, func() {
		r.store.put("servers/"+r.id, nil)
		r.rec.add("store removes the entry of %s", r.id)
	})
	if r.onCrash != nil {
		r.onCrash(r)
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if r.ended.Load() {
		panic(http.ErrAbortHandler)
	}
	switch req.URL.Path {
	case "/v1/kv-list":
		r.serveList(w)
		return
	case "/v1/report":
		answer(w, map[string]any{"stage": "unified", "models": []any{}, "busy": false, "sequence": 1, "waiting": 0,
			"running": r.running.Load(), "kv-used": 0, "kv-total": 600000, "handles": 0, "born": r.born})
		return
	case "/health":
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := req.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Instance-Id", r.id)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if t := req.Header.Get("Target-Instance"); t != "" && t != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		r.rec.add("request %s: 421 from %s, meant for %s", id, r.id, t)
		return
	}
	n := r.running.Add(1)
	defer r.running.Add(-1)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", min(int(n), r.slots), r.slots))
	if int(n) > r.slots+r.queue {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		r.rec.add("request %s: 503 Not-Executed from %s", id, r.id)
		return
	}
	run := r.rec.run(id, r, req, body)
	w.Header().Set("Response-Seal", fmt.Sprintf("%s.%s.%d", r.id, id, run))
	if req.Header.Get("Prompt-Prefix") == "" {
		time.Sleep(r.work)
		if r.ended.Load() {
			panic(http.ErrAbortHandler)
		}
		text := fmt.Sprintf("%s %s done by %s", req.Method, req.URL.RequestURI(), r.id)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	r.serveStream(w, req, id)
}

func (r *runner) serveStream(w http.ResponseWriter, req *http.Request, id string) {
	r.keep(req.Header.Get("Prompt-Prefix"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	flush := w.(http.Flusher)
	flush.Flush()
	if r.crashes != nil && r.crashes(req) {
		time.Sleep(20 * time.Millisecond)
		r.crash("begins to write an answer to " + id)
		panic(http.ErrAbortHandler)
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= r.events; n++ {
		select {
		case <-req.Context().Done():
			return
		case <-r.down:
			panic(http.ErrAbortHandler)
		case <-time.After(r.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"by\":\"%s\",\"version\":\"%s\",\"last\":%d}\n\n", n, r.id, r.version, r.events); err != nil {
			return
		}
		flush.Flush()
	}
}

// keep remembers the parts of a prompt that was read.
func (r *runner) keep(prefix string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, field := range strings.Split(prefix, ",") {
		id, tokens, _ := strings.Cut(field, ":")
		n, _ := strconv.Atoi(tokens)
		r.parts[id] = n
	}
}

func (r *runner) serveList(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := [][]any{}
	for id, n := range r.parts {
		held = append(held, []any{"", id, n, "m"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next": 1, "held": held})
}
