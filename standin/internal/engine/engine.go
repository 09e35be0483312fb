package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/standin/internal/faults"
)

// chatHeader names the chat of a request, by which its prefix can be exported.
const chatHeader = "X-Chat-Id"

// Defaults of an engine.
const (
	defaultAnswer = 24
	bytesPerToken = 4
	maxBody       = 8 << 20
	cacheEntries  = 100_000
)

// Settings shape an engine.
type Settings struct {
	Model string
	// DecodeRate is the answer tokens a stream gets a second, PrefillRate the prompt tokens the engine reads a second.
	DecodeRate  float64
	PrefillRate float64
	CacheTokens int
	MaxBatch    int
	// ReportLag is how old the load report is.
	ReportLag time.Duration
}

// Faults are switched on by a test's call to /faults.
type Faults struct {
	// CutAfter ends each stream without its end after so many tokens.
	CutAfter int `json:"cut_after"`
	// Stall keeps each stream open without tokens after the first.
	Stall bool `json:"stall"`
	// Refuse answers every chat with status 500.
	Refuse bool `json:"refuse"`
}

// Counts tell a test what the engine has done.
type Counts struct {
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Running   int64 `json:"running"`
	Tokens    int64 `json:"tokens"`
	MaxRun    int64 `json:"max_running"`
	Imported  int64 `json:"imported_tokens"`
}

// Engine answers chats with text that follows from the messages alone.
type Engine struct {
	cfg   Settings
	slots chan struct{}

	faults faults.Switch[Faults]
	mu     sync.Mutex
	cache  *simplelru.LRU[uint64, int]
	chats  *simplelru.LRU[string, []uint64]
	held   int
	report Counts

	started, finished, cancelled, running, tokens, maxRunning, imported atomic.Int64
}

// New returns an engine with the given settings.
func New(cfg Settings) *Engine {
	e := &Engine{cfg: cfg, slots: make(chan struct{}, cfg.MaxBatch)}
	// The only error is a size below one.
	e.cache, _ = simplelru.NewLRU(cacheEntries, func(_ uint64, n int) { e.held -= n })
	e.chats, _ = simplelru.NewLRU[string, []uint64](cacheEntries, nil)
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /counts", e.counts)
	mux.HandleFunc("GET /load", e.load)
	mux.Handle("POST /faults", &e.faults)
	mux.HandleFunc("GET /kv/export", e.export)
	mux.HandleFunc("POST /kv/import", e.importPrefix)
	return mux
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// request is the body of a chat request.
type request struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Resume    struct {
		Text   string `json:"text"`
		Tokens int    `json:"tokens"`
	} `json:"resume"`
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var q request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	present := e.faults.Get()
	if present.Refuse || q.Model != e.cfg.Model {
		http.Error(w, "cannot serve this model", http.StatusInternalServerError)
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.started.Add(1)
	raise(&e.maxRunning, e.running.Add(1))
	defer e.running.Add(-1)
	g := e.begin(q)
	if !e.pause(r, float64(g.prompt-g.cached)/e.cfg.PrefillRate) {
		e.cancelled.Add(1)
		return
	}
	if e.answer(w, r, g, present) {
		e.finished.Add(1)
		e.store(g, r.Header.Get(chatHeader))
		return
	}
	e.cancelled.Add(1)
}

// raise sets v to n if that is larger.
func raise(v *atomic.Int64, n int64) {
	for {
		have := v.Load()
		if n <= have || v.CompareAndSwap(have, n) {
			return
		}
	}
}

// generation is one answer in the making.
type generation struct {
	request request
	seed    uint64
	prompt  int
	cached  int
	length  int
	text    strings.Builder
}

// begin finds the longest cached prefix of the messages.
func (e *Engine) begin(q request) *generation {
	g := &generation{request: q, length: q.MaxTokens}
	if g.length <= 0 {
		g.length = defaultAnswer
	}
	h := xxhash.New()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range q.Messages {
		hashMessage(h, m)
		g.prompt += len(m.Content)/bytesPerToken + 1
		if _, ok := e.cache.Get(h.Sum64()); ok {
			g.cached = g.prompt
		}
	}
	g.seed = h.Sum64()
	g.text.WriteString(q.Resume.Text)
	return g
}

func hashMessage(h *xxhash.Digest, m message) {
	_, _ = h.WriteString(m.Role + "\x00" + m.Content + "\x00")
}

// store keeps every prefix of the chat with its answer, the least recently used ones out first.
func (e *Engine) store(g *generation, chat string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := xxhash.New()
	var keys []uint64
	defer func() { e.chats.Add(chat, keys) }()
	all := append(g.request.Messages, message{Role: "assistant", Content: g.text.String()})
	for _, m := range all {
		hashMessage(h, m)
		e.keep(h.Sum64(), len(m.Content)/bytesPerToken+1)
		keys = append(keys, h.Sum64())
	}
}

// keep holds one prefix's own tokens; the caller holds the lock.
func (e *Engine) keep(key uint64, n int) {
	if e.cache.Contains(key) {
		e.cache.Get(key)
		return
	}
	e.cache.Add(key, n)
	e.held += n
	for e.held > e.cfg.CacheTokens && e.cache.Len() > 1 {
		e.cache.RemoveOldest()
	}
}

// word is the i-th token of the answer to a seed.
func word(seed uint64, i int) string {
	return fmt.Sprintf("w%04x ", (seed*31+uint64(i)*2654435761)>>16&0xffff)
}

func (e *Engine) pause(r *http.Request, seconds float64) bool {
	if seconds <= 0 {
		return true
	}
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return true
	case <-r.Context().Done():
		return false
	}
}

// Counts returns what the engine has done so far.
func (e *Engine) Counts() Counts {
	return Counts{
		Started:   e.started.Load(),
		Finished:  e.finished.Load(),
		Cancelled: e.cancelled.Load(),
		Running:   e.running.Load(),
		Tokens:    e.tokens.Load(),
		MaxRun:    e.maxRunning.Load(),
		Imported:  e.imported.Load(),
	}
}

func (e *Engine) counts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Counts())
}

// Lag keeps the load report as old as the settings say, until stop is closed.
func (e *Engine) Lag(stop <-chan struct{}) {
	t := time.NewTicker(max(e.cfg.ReportLag, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			e.mu.Lock()
			e.report = e.Counts()
			e.mu.Unlock()
		}
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.report)
}
