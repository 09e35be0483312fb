package affinity

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Bounds of what is remembered.
const (
	// maxParts bounds the parts; one takes about 200 bytes.
	maxParts = 50_000
	// maxHolders bounds the upstreams remembered for one part. A part with more holders, such as the beginning that all
	// prompts of a service share, counts as held everywhere.
	maxHolders = 64
	// keepTime is how long a part is taken as cached after its last use.
	keepTime = 60 * time.Second
	// renewTime is how often the use of a part is told to other routers again.
	renewTime = 5 * time.Second
)

// CacheEntry is one upstream that has read a part.
type CacheEntry struct {
	Block    call.PromptBlockID
	Upstream settings.UpstreamID
	// Age is the time since the last use.
	Age time.Duration
}

type holder struct {
	upstream settings.UpstreamID
	used     clock.Instant
	told     clock.Instant
}

// entry is what is known of one part.
type entry struct {
	holders    []holder
	everywhere bool
	// again says that the part has been used more than once, so that it is likely to be used again.
	again bool
}

// Index maps parts to their holders; its zero value is empty.
type Index struct {
	mu    sync.Mutex
	parts *simplelru.LRU[call.PromptBlockID, *entry]
	news  []CacheEntry
	stamp []clock.Instant
}

func (d *Index) table() *simplelru.LRU[call.PromptBlockID, *entry] {
	if d.parts == nil {
		// The size is a positive constant, the only thing that can be refused.
		d.parts, _ = simplelru.NewLRU[call.PromptBlockID, *entry](maxParts, nil)
	}
	return d.parts
}

// RecordUse notes that an upstream reads the shared parts of a prompt now.
func (d *Index) RecordUse(now clock.Instant, parts []call.PromptBlock, upstream settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range parts {
		h := d.note(p.ID, upstream, now)
		if h.told == 0 || now.Sub(h.told) >= renewTime {
			h.told = now
			d.news = append(d.news, CacheEntry{Block: p.ID, Upstream: upstream})
			d.stamp = append(d.stamp, now)
		}
	}
}

// note sets the last use of a part at an upstream.
func (d *Index) note(part call.PromptBlockID, upstream settings.UpstreamID, used clock.Instant) *holder {
	table := d.table()
	e, ok := table.Get(part)
	if ok {
		e.again = true
	} else {
		e = &entry{}
		table.Add(part, e)
	}
	for i := range e.holders {
		if e.holders[i].upstream == upstream {
			e.holders[i].used = max(e.holders[i].used, used)
			return &e.holders[i]
		}
	}
	fresh := holder{upstream: upstream, used: used}
	if len(e.holders) < maxHolders {
		e.holders = append(e.holders, fresh)
		return &e.holders[len(e.holders)-1]
	}
	e.everywhere = true
	oldest := &e.holders[0]
	for i := range e.holders {
		if e.holders[i].used < oldest.used {
			oldest = &e.holders[i]
		}
	}
	*oldest = fresh
	return oldest
}

// Merge takes in what another router told.
func (d *Index) Merge(now clock.Instant, news []CacheEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range news {
		h := d.note(n.Block, n.Upstream, now.Add(-n.Age))
		// The other routers have heard it too.
		h.told = max(h.told, now.Add(-n.Age))
	}
}

// TakeUpdates returns and clears what other routers should hear.
func (d *Index) TakeUpdates(now clock.Instant) []CacheEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := d.news
	for i := range news {
		news[i].Age = now.Sub(d.stamp[i])
	}
	d.news, d.stamp = nil, nil
	return news
}

// Recent returns holdings for a router that has just started, at most n and a few more: first those of parts that were
// used more than once, since most last parts of prompts never come again, and in either kind the newest first.
func (d *Index) Recent(now clock.Instant, n int) []CacheEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recent(now, n, false, d.recent(now, n, true, nil))
}

func (d *Index) recent(now clock.Instant, n int, again bool, list []CacheEntry) []CacheEntry {
	keys := d.table().Keys()
	for i := len(keys) - 1; i >= 0 && len(list) < n; i-- {
		e, _ := d.table().Peek(keys[i])
		if e.again != again {
			continue
		}
		for _, h := range e.holders {
			if age := now.Sub(h.used); age < keepTime {
				list = append(list, CacheEntry{Block: keys[i], Upstream: h.upstream, Age: age})
			}
		}
	}
	return list
}

// CachedTokens returns, for each upstream in the order given, the tokens of the prompt that it need not read again.
func (d *Index) CachedTokens(now clock.Instant, parts []call.PromptBlock, upstreams []settings.UpstreamID) []settings.Tokens {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := make([]settings.Tokens, len(upstreams))
	whole := make([]bool, len(upstreams))
	for i := range whole {
		whole[i] = true
	}
	for _, p := range parts {
		e, _ := d.table().Get(p.ID)
		for i, id := range upstreams {
			whole[i] = whole[i] && e.holds(id, now)
			if whole[i] {
				held[i] += p.Tokens
			}
		}
	}
	return held
}

func (e *entry) holds(upstream settings.UpstreamID, now clock.Instant) bool {
	if e == nil {
		return false
	}
	if e.everywhere {
		return true
	}
	for _, h := range e.holders {
		if h.upstream == upstream {
			return now.Sub(h.used) < keepTime
		}
	}
	return false
}

// Forget drops everything that an upstream held, after its end or restart.
func (d *Index) Forget(upstream settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	table := d.table()
	for _, part := range table.Keys() {
		e, _ := table.Peek(part)
		e.holders = slices.DeleteFunc(e.holders, func(h holder) bool { return h.upstream == upstream })
	}
}

// Size returns the number of parts that are remembered.
func (d *Index) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table().Len()
}
