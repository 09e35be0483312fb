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

// chatHeader is the header with the id of a request's chat, by which the cached prefix of the chat can be exported.
const chatHeader = "X-Chat-Id"

// Defaults of an engine.
const (
	defaultAnswerTokens = 24
	bytesPerToken       = 4
	maxBodyBytes        = 8 << 20
	maxCacheEntries     = 100_000
)

// Settings are the settings of an engine.
type Settings struct {
	// Model is the only model that the engine serves.
	Model string
	// DecodeRate is the number of answer tokens a second on each stream.
	DecodeRate float64
	// PrefillRate is the number of uncached prompt tokens a second that each request processes.
	PrefillRate float64
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// MaxBatch is the number of chats that run at a time.
	MaxBatch int
	// ReportLag is the interval at which the load report is refreshed.
	ReportLag time.Duration
}

// Faults are the faults that POST /faults sets.
type Faults struct {
	// CutAfter is the number of tokens after which each stream is cut without its end marker, 0 for none.
	CutAfter int `json:"cut_after"`
	// Stall keeps each stream open without sending any token after the first one of the answer.
	Stall bool `json:"stall"`
	// Refuse fails every chat with status 500.
	Refuse bool `json:"refuse"`
}

// Counts are the counters of an engine.
type Counts struct {
	Started        int64 `json:"started"`
	Finished       int64 `json:"finished"`
	Cancelled      int64 `json:"cancelled"`
	Running        int64 `json:"running"`
	Tokens         int64 `json:"tokens"`
	MaxRunning     int64 `json:"max_running"`
	ImportedTokens int64 `json:"imported_tokens"`
}

// Engine answers chats with text that depends on the messages only, so every engine gives the same answer.
type Engine struct {
	cfg   Settings
	slots chan struct{}

	faults       faults.Switch[Faults]
	mu           sync.Mutex
	cache        *simplelru.LRU[uint64, int]
	chats        *simplelru.LRU[string, []uint64]
	cachedTokens int
	loadReport   Counts

	started, finished, cancelled, running, generatedTokens, maxRunning, importedTokens atomic.Int64
}

// New returns an engine with the given settings.
func New(cfg Settings) *Engine {
	e := &Engine{cfg: cfg, slots: make(chan struct{}, cfg.MaxBatch)}
	// The only error is a size below one.
	e.cache, _ = simplelru.NewLRU(maxCacheEntries, func(_ uint64, n int) { e.cachedTokens -= n })
	e.chats, _ = simplelru.NewLRU[string, []uint64](maxCacheEntries, nil)
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /counts", e.counts)
	mux.HandleFunc("GET /load", e.load)
	mux.Handle("POST /faults", &e.faults)
	mux.HandleFunc("GET /kv/export", e.exportPrefix)
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
	var req request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	active := e.faults.Get()
	if active.Refuse || req.Model != e.cfg.Model {
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
	raiseTo(&e.maxRunning, e.running.Add(1))
	defer e.running.Add(-1)
	g := e.newGeneration(req)
	if !e.wait(r, float64(g.promptTokens-g.cachedTokens)/e.cfg.PrefillRate) {
		e.cancelled.Add(1)
		return
	}
	if e.writeAnswer(w, r, g, active) {
		e.finished.Add(1)
		e.cacheChat(g, r.Header.Get(chatHeader))
		return
	}
	e.cancelled.Add(1)
}

// raiseTo sets v to n if n is larger.
func raiseTo(v *atomic.Int64, n int64) {
	for {
		current := v.Load()
		if n <= current || v.CompareAndSwap(current, n) {
			return
		}
	}
}

// generation is the state of one chat's answer.
type generation struct {
	request      request
	seed         uint64
	promptTokens int
	cachedTokens int
	answerTokens int
	text         strings.Builder
}

// newGeneration starts the answer to a request and looks up the longest cached prefix of its messages.
func (e *Engine) newGeneration(req request) *generation {
	g := &generation{request: req, answerTokens: req.MaxTokens}
	if g.answerTokens <= 0 {
		g.answerTokens = defaultAnswerTokens
	}
	h := xxhash.New()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range req.Messages {
		hashMessage(h, m)
		g.promptTokens += len(m.Content)/bytesPerToken + 1
		if _, ok := e.cache.Get(h.Sum64()); ok {
			g.cachedTokens = g.promptTokens
		}
	}
	g.seed = h.Sum64()
	g.text.WriteString(req.Resume.Text)
	return g
}

func hashMessage(h *xxhash.Digest, m message) {
	_, _ = h.WriteString(m.Role + "\x00" + m.Content + "\x00")
}

// cacheChat caches every prefix of the chat, including its answer.
func (e *Engine) cacheChat(g *generation, chat string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := xxhash.New()
	var keys []uint64
	defer func() { e.chats.Add(chat, keys) }()
	messages := append(g.request.Messages, message{Role: "assistant", Content: g.text.String()})
	for _, m := range messages {
		hashMessage(h, m)
		e.cachePrefix(h.Sum64(), len(m.Content)/bytesPerToken+1)
		keys = append(keys, h.Sum64())
	}
}

// cachePrefix caches a prefix with the n tokens of its last message and evicts the least recently used prefixes beyond
// CacheTokens. The caller holds the lock.
func (e *Engine) cachePrefix(key uint64, n int) {
	if e.cache.Contains(key) {
		e.cache.Get(key)
		return
	}
	e.cache.Add(key, n)
	e.cachedTokens += n
	for e.cachedTokens > e.cfg.CacheTokens && e.cache.Len() > 1 {
		e.cache.RemoveOldest()
	}
}

// answerToken returns the i-th token of the answer for a seed.
func answerToken(seed uint64, i int) string {
	return fmt.Sprintf("w%04x ", (seed*31+uint64(i)*2654435761)>>16&0xffff)
}

// wait waits for a duration in seconds and reports false if the client has gone away before its end.
func (e *Engine) wait(r *http.Request, seconds float64) bool {
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

// Counts returns the present counters.
func (e *Engine) Counts() Counts {
	return Counts{
		Started:        e.started.Load(),
		Finished:       e.finished.Load(),
		Cancelled:      e.cancelled.Load(),
		Running:        e.running.Load(),
		Tokens:         e.generatedTokens.Load(),
		MaxRunning:     e.maxRunning.Load(),
		ImportedTokens: e.importedTokens.Load(),
	}
}

func (e *Engine) counts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Counts())
}

// RefreshLoadReport copies the counters to the load report every ReportLag until stop is closed.
func (e *Engine) RefreshLoadReport(stop <-chan struct{}) {
	t := time.NewTicker(max(e.cfg.ReportLag, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			e.mu.Lock()
			e.loadReport = e.Counts()
			e.mu.Unlock()
		}
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.loadReport)
}
