package cacheowner

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/settings"
)

// DefaultEntries bounds the directory of one side.
const DefaultEntries = 8192

// holders is the last two sides that served a chat, the latest first.
type holders [2]settings.UpstreamID

// Table is a bounded table of chats, the least recently used one out first; its zero value is ready.
type Table struct {
	MaxEntries int
	lru        *simplelru.LRU[uint64, holders]
}

func (d *Table) table() *simplelru.LRU[uint64, holders] {
	if d.lru != nil {
		return d.lru
	}
	entries := d.MaxEntries
	if entries <= 0 {
		entries = DefaultEntries
	}
	// The only error is a size below one.
	d.lru, _ = simplelru.NewLRU[uint64, holders](entries, nil)
	return d.lru
}

// RecordServed notes that a side has served a chat.
func (d *Table) RecordServed(chat uint64, side settings.UpstreamID) {
	h, _ := d.table().Get(chat)
	if h[0] == side {
		return
	}
	d.table().Add(chat, holders{side, h[0]})
}

// Owners returns up to two sides that may hold a chat's prefix, the latest first.
func (d *Table) Owners(chat uint64) (first, second settings.UpstreamID) {
	h, _ := d.table().Get(chat)
	return h[0], h[1]
}

// Len returns the number of chats remembered.
func (d *Table) Len() int { return d.table().Len() }
