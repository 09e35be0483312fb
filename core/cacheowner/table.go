package cacheowner

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/settings"
)

// DefaultMaxEntries is the maximum number of chats in a table that sets none.
const DefaultMaxEntries = 8192

// owners lists the last two sides that served a chat, the latest first.
type owners [2]settings.UpstreamID

// Table maps chats to their cache owners and evicts the least recently used chat; the zero value is empty and ready to use.
type Table struct {
	// MaxEntries limits the number of chats; values below 1 stand for DefaultMaxEntries.
	MaxEntries int
	lru        *simplelru.LRU[uint64, owners]
}

func (t *Table) table() *simplelru.LRU[uint64, owners] {
	if t.lru != nil {
		return t.lru
	}
	entries := t.MaxEntries
	if entries <= 0 {
		entries = DefaultMaxEntries
	}
	// NewLRU fails only for a size below one.
	t.lru, _ = simplelru.NewLRU[uint64, owners](entries, nil)
	return t.lru
}

// RecordServed records that a side has served a chat.
func (t *Table) RecordServed(chat uint64, side settings.UpstreamID) {
	previous, _ := t.table().Get(chat)
	if previous[0] == side {
		return
	}
	t.table().Add(chat, owners{side, previous[0]})
}

// Owners returns up to two sides that may have a chat's prefix cached, the latest first and empty for none.
func (t *Table) Owners(chat uint64) (first, second settings.UpstreamID) {
	owners, _ := t.table().Get(chat)
	return owners[0], owners[1]
}

// Len returns the number of chats in the table.
func (t *Table) Len() int { return t.table().Len() }
