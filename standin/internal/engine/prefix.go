package engine

import (
	"encoding/json"
	"net/http"
)

// Prefix is the exported prefix of one chat; its blocks stand for the KV cache.
type Prefix struct {
	Keys   []uint64 `json:"keys"`
	Tokens []int    `json:"tokens"`
}

// Imported is the answer to an import.
type Imported struct {
	Tokens int `json:"tokens"`
}

// export gives out the cached prefix of a chat.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
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

// importPrefix takes an exported prefix in.
func (e *Engine) importPrefix(w http.ResponseWriter, r *http.Request) {
	var p Prefix
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&p)
	if err != nil || len(p.Keys) != len(p.Tokens) {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	var answer Imported
	e.mu.Lock()
	for i, key := range p.Keys {
		e.keep(key, p.Tokens[i])
		answer.Tokens += p.Tokens[i]
	}
	e.chats.Add(r.URL.Query().Get("chat"), p.Keys)
	e.mu.Unlock()
	e.imported.Add(int64(answer.Tokens))
	_ = json.NewEncoder(w).Encode(answer)
}
