package engine

import (
	"encoding/json"
	"net/http"
)

// Prefix is the exported cached prefix of one chat. It contains keys and token counts in place of a KV cache.
type Prefix struct {
	// Keys are the hashes of the prefixes after each message.
	Keys []uint64 `json:"keys"`
	// Tokens are the tokens of the last message of each prefix.
	Tokens []int `json:"tokens"`
}

// ImportResult is the response to an import.
type ImportResult struct {
	Tokens int `json:"tokens"`
}

// exportPrefix handles GET /kv/export: it returns the cached prefix of a chat.
func (e *Engine) exportPrefix(w http.ResponseWriter, r *http.Request) {
	var p Prefix
	e.mu.Lock()
	keys, _ := e.chats.Get(r.URL.Query().Get("chat"))
	for _, key := range keys {
		if n, ok := e.cache.Peek(key); ok {
			p.Keys = append(p.Keys, key)
			p.Tokens = append(p.Tokens, n)
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(p)
}

// importPrefix handles POST /kv/import: it adds an exported prefix to the cache.
func (e *Engine) importPrefix(w http.ResponseWriter, r *http.Request) {
	var p Prefix
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&p)
	if err != nil || len(p.Keys) != len(p.Tokens) {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	var result ImportResult
	e.mu.Lock()
	for i, key := range p.Keys {
		e.cachePrefix(key, p.Tokens[i])
		result.Tokens += p.Tokens[i]
	}
	e.chats.Add(r.URL.Query().Get("chat"), p.Keys)
	e.mu.Unlock()
	e.importedTokens.Add(int64(result.Tokens))
	_ = json.NewEncoder(w).Encode(result)
}
