package admission

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/settings"
)

// maxPrefixes bounds the chats remembered whatever the size of the cache.
const maxPrefixes = 8192

// believed is the part of the engine's cache whose content is believed in; the rest may be gone already.
const believed = 0.9

// Prefixes is what a side believes its engine's cache to hold; being wrong costs a miss and never an answer.
// Its zero value believes in nothing and is ready to use.
type Prefixes struct {
	// Limit is the size of the engine's cache in tokens.
	Limit settings.Tokens

	lru  *simplelru.LRU[uint64, settings.Tokens]
	held settings.Tokens
}

func (p *Prefixes) table() *simplelru.LRU[uint64, settings.Tokens] {
	if p.lru == nil {
		// The only error is a size below one.
		p.lru, _ = simplelru.NewLRU(maxPrefixes, func(_ uint64, n settings.Tokens) { p.held -= n })
	}
	return p.lru
}

// Cached returns the tokens of a chat's prefix that the engine is believed to hold.
func (p *Prefixes) Cached(chat uint64) settings.Tokens {
	n, _ := p.table().Peek(chat)
	return n
}

// Used notes that the engine is using a chat's prefix.
func (p *Prefixes) Used(chat uint64) { p.table().Get(chat) }

// RecordStored notes that the engine has just held this many tokens of a chat.
func (p *Prefixes) RecordStored(chat uint64, n settings.Tokens) {
	t := p.table()
	t.Remove(chat)
	t.Add(chat, n)
	p.held += n
	for p.Limit > 0 && p.held > p.Limit*believed && t.Len() > 1 {
		t.RemoveOldest()
	}
}

// Len returns the number of chats remembered.
func (p *Prefixes) Len() int { return p.table().Len() }
