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

// Limits of an Index.
const (
	// maxBlocks limits the number of blocks; each takes about 200 bytes.
	maxBlocks = 50_000
	// maxOwners limits the number of cache owners of one block. A block with more owners, such as the beginning that all
	// prompts of a service share, counts as cached by every upstream.
	maxOwners = 64
	// entryLifetime is how long a block counts as cached after its last use.
	entryLifetime = 60 * time.Second
	// renewInterval is the time after which another use of a block is reported to other routers again.
	renewInterval = 5 * time.Second
)

// CacheEntry records that an upstream has a prompt block cached.
type CacheEntry struct {
	Block    call.PromptBlockID
	Upstream settings.UpstreamID
	// Age is the time since the last use of the block, or since the upstream has listed it.
	Age time.Duration
	// Listing is what the upstream itself has stated, zero if the entry comes from a request.
	Listing Listing
}

// cacheOwner is an upstream that caches a block; reported is when its use was last reported, by this router or another.
type cacheOwner struct {
	upstream settings.UpstreamID
	lastUse  clock.Instant
	reported clock.Instant
}

// blockEntry lists the cache owners of one block.
type blockEntry struct {
	owners []cacheOwner
	// cachedByAll means that the block had more than maxOwners owners. It ends with entryLifetime after lastUse, and does not
	// apply to the upstreams in forgotten.
	cachedByAll bool
	lastUse     clock.Instant
	// forgotten holds the upstreams that have ended or restarted since their last use of a block with cachedByAll.
	forgotten map[settings.UpstreamID]bool
	// listings holds what upstreams have listed. They stay after an upstream has ended. listedByMany means that there were more than
	// maxListings.
	listings     []Listed
	listedByMany bool
	// reused means that the block has been recorded more than once and is likely to be used again.
	reused bool
}

// Index maps prompt blocks to the upstreams that have them cached; the zero value is empty and ready to use.
type Index struct {
	mu          sync.Mutex
	blocks      *simplelru.LRU[call.PromptBlockID, *blockEntry]
	updates     []CacheEntry
	updateTimes []clock.Instant
	readings    readings
}

func (ix *Index) table() *simplelru.LRU[call.PromptBlockID, *blockEntry] {
	if ix.blocks == nil {
		// NewLRU fails only for a size below one.
		ix.blocks, _ = simplelru.NewLRU[call.PromptBlockID, *blockEntry](maxBlocks, nil)
	}
	return ix.blocks
}

// RecordUse records that an upstream processes the given blocks of a prompt now.
func (ix *Index) RecordUse(now clock.Instant, blocks []call.PromptBlock, upstream settings.UpstreamID) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	for _, block := range blocks {
		owner := ix.record(block.ID, upstream, now)
		if owner.reported == 0 || now.Sub(owner.reported) >= renewInterval {
			owner.reported = now
			ix.updates = append(ix.updates, CacheEntry{Block: block.ID, Upstream: upstream})
			ix.updateTimes = append(ix.updateTimes, now)
		}
	}
}

// record records the use of a block at an upstream and returns its cache owner record.
func (ix *Index) record(block call.PromptBlockID, upstream settings.UpstreamID, lastUse clock.Instant) *cacheOwner {
	table := ix.table()
	entry, ok := table.Get(block)
	if ok {
		entry.reused = true
		if lastUse.Sub(entry.lastUse) >= entryLifetime {
			entry.cachedByAll, entry.forgotten = false, nil
		}
	} else {
		entry = &blockEntry{}
		if table.Add(block, entry) {
			ix.readings.evicted = true
		}
	}
	entry.lastUse = max(entry.lastUse, lastUse)
	delete(entry.forgotten, upstream)
	for i := range entry.owners {
		if entry.owners[i].upstream == upstream {
			entry.owners[i].lastUse = max(entry.owners[i].lastUse, lastUse)
			return &entry.owners[i]
		}
	}
	fresh := cacheOwner{upstream: upstream, lastUse: lastUse}
	if len(entry.owners) < maxOwners {
		entry.owners = append(entry.owners, fresh)
		return &entry.owners[len(entry.owners)-1]
	}
	entry.cachedByAll = true
	oldest := &entry.owners[0]
	for i := range entry.owners {
		if entry.owners[i].lastUse < oldest.lastUse {
			oldest = &entry.owners[i]
		}
	}
	*oldest = fresh
	return oldest
}

// Merge adds the cache entries that another router has sent, and returns those of uses that were not known. A use counts as known if one
// was reported within half of renewInterval before it, which is more than an entry is delayed on its way.
func (ix *Index) Merge(now clock.Instant, entries []CacheEntry) []CacheEntry {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	var news []CacheEntry
	for _, entry := range entries {
		used := now.Add(-entry.Age)
		if entry.Block != readMark {
			owner := ix.record(entry.Block, entry.Upstream, used)
			if owner.reported == 0 || used.Sub(owner.reported) >= renewInterval/2 {
				news = append(news, entry)
			}
			// This router need not report the use again.
			owner.reported = max(owner.reported, used)
		}
		if entry.Listing.Incarnation != 0 {
			ix.recordListing(entry, now.Add(-entry.Age))
		}
	}
	return news
}

// TakeUpdates returns and clears the entries to send to other routers.
func (ix *Index) TakeUpdates(now clock.Instant) []CacheEntry {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.reviewReadings(now)
	updates := ix.updates
	for i := range updates {
		updates[i].Age = now.Sub(ix.updateTimes[i])
	}
	ix.updates, ix.updateTimes = nil, nil
	return updates
}

// Recent returns entries for a router that has just started, at most n plus the rest of the last block's owners. Blocks
// recorded more than once come first, since the last block of most prompts is never used again. Within both groups the most
// recently used blocks come first.
func (ix *Index) Recent(now clock.Instant, n int) []CacheEntry {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	entries := ix.appendRecent(now, n, false, ix.appendRecent(now, n, true, nil))
	if len(entries) < n && ix.holdsAll(now) {
		entries = append(entries, ix.readMarks(now)...)
	}
	return entries
}

func (ix *Index) appendRecent(now clock.Instant, n int, reused bool, entries []CacheEntry) []CacheEntry {
	ids := ix.table().Keys()
	for i := len(ids) - 1; i >= 0 && len(entries) < n; i-- {
		entry, _ := ix.table().Peek(ids[i])
		if entry.reused != reused {
			continue
		}
		for _, owner := range entry.owners {
			if age := now.Sub(owner.lastUse); age < entryLifetime && !entry.isListing(owner) {
				entries = append(entries, CacheEntry{Block: ids[i], Upstream: owner.upstream, Age: age})
			}
		}
		for _, l := range entry.listings {
			if age := now.Sub(l.at); age < entryLifetime {
				entries = append(entries, CacheEntry{Block: ids[i], Upstream: l.Upstream, Age: age, Listing: l.Listing})
			}
		}
	}
	return entries
}

// CachedTokens returns, for each upstream in the given order, the number of leading tokens of the prompt in its cache.
func (ix *Index) CachedTokens(now clock.Instant, blocks []call.PromptBlock, upstreams []settings.UpstreamID) []settings.Tokens {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	cached := make([]settings.Tokens, len(upstreams))
	contiguous := make([]bool, len(upstreams))
	for i := range contiguous {
		contiguous[i] = true
	}
	for _, block := range blocks {
		entry, _ := ix.table().Get(block.ID)
		for i, id := range upstreams {
			contiguous[i] = contiguous[i] && entry.cachedBy(id, now)
			if contiguous[i] {
				cached[i] += block.Tokens
			}
		}
	}
	return cached
}

func (e *blockEntry) cachedBy(upstream settings.UpstreamID, now clock.Instant) bool {
	if e == nil {
		return false
	}
	if e.cachedByAll && now.Sub(e.lastUse) < entryLifetime {
		return !e.forgotten[upstream]
	}
	for _, owner := range e.owners {
		if owner.upstream == upstream {
			return now.Sub(owner.lastUse) < entryLifetime
		}
	}
	return false
}

// Forget removes an upstream from the cache owners of all blocks, after it has ended or restarted.
func (ix *Index) Forget(upstream settings.UpstreamID) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	table := ix.table()
	for _, block := range table.Keys() {
		entry, _ := table.Peek(block)
		entry.owners = slices.DeleteFunc(entry.owners, func(owner cacheOwner) bool { return owner.upstream == upstream })
		if entry.cachedByAll {
			if entry.forgotten == nil {
				entry.forgotten = make(map[settings.UpstreamID]bool)
			}
			entry.forgotten[upstream] = true
		}
	}
}

// Size returns the number of blocks in the index.
func (ix *Index) Size() int {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.table().Len()
}
