package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Prefix is one exported prefix; its blocks stand for the KV cache.
type Prefix struct {
	Keys   []uint64 `json:"keys"`
	Tokens []int    `json:"tokens"`
}

// maxExport bounds the prefixes of one export.
const maxExport = 4096

// export gives out the prefixes whose keys are asked for.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var p Prefix
	e.mu.Lock()
	for _, text := range r.URL.Query()["key"] {
		key, err := strconv.ParseUint(text, 10, 64)
		if err != nil || len(p.Keys) >= maxExport {
			continue
		}
		if n, ok := e.cache.Peek(key); ok {
			p.Keys = append(p.Keys, key)
			p.Tokens = append(p.Tokens, n)
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(p)
}

// importPrefix takes exported prefixes in.
func (e *Engine) importPrefix(w http.ResponseWriter, r *http.Request) {
	var p Prefix
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&p)
	if err != nil || len(p.Keys) != len(p.Tokens) {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, key := range p.Keys {
		e.keep(key, p.Tokens[i])
		e.imported.Add(int64(p.Tokens[i]))
	}
}
