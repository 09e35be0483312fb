package admission

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/settings"
)

// maxPrefixes limits the number of chats in the table, whatever the size of the engine's cache.
const maxPrefixes = 8192

// usableFraction is the fraction of the engine's cache size up to which the table keeps entries. The engine may have evicted
// anything beyond it.
const usableFraction = 0.9

// Prefixes estimates which chats' prefixes the side's engine has cached. A wrong estimate leads to extra prefill work and
// never to a wrong answer. The zero value is empty and ready to use.
type Prefixes struct {
	// Limit is the size of the engine's cache in tokens, 0 for no limit.
	Limit settings.Tokens

	lru   *simplelru.LRU[uint64, settings.Tokens]
	total settings.Tokens
}

func (p *Prefixes) table() *simplelru.LRU[uint64, settings.Tokens] {
	if p.lru == nil {
		// NewLRU fails only for a size below one.
		p.lru, _ = simplelru.NewLRU(maxPrefixes, func(_ uint64, n settings.Tokens) { p.total -= n })
	}
	return p.lru
}

// Cached returns the number of tokens of a chat's prefix that the engine probably has cached.
func (p *Prefixes) Cached(chat uint64) settings.Tokens {
	n, _ := p.table().Peek(chat)
	return n
}

// RecordUse records that the engine uses a chat's prefix now.
func (p *Prefixes) RecordUse(chat uint64) { p.table().Get(chat) }

// RecordStored records that the engine has cached n tokens of a chat, and drops the least recently used chats over the limit.
func (p *Prefixes) RecordStored(chat uint64, n settings.Tokens) {
	t := p.table()
	t.Remove(chat)
	t.Add(chat, n)
	p.total += n
	for p.Limit > 0 && p.total > p.Limit*usableFraction && t.Len() > 1 {
		t.RemoveOldest()
	}
}

// Len returns the number of chats in the table.
func (p *Prefixes) Len() int { return p.table().Len() }
