package origin

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/clock"
)

// maxRecords bounds the remembered streams of a Records; the least recently added ones make room.
const maxRecords = 32_768

type record struct {
	origin Origin
	at     clock.Instant
}

// Records remembers the origins of streams for KeepTime; its zero value is ready to use.
type Records struct {
	mu      sync.Mutex
	streams *simplelru.LRU[StreamID, record]
}

// Add remembers the origin of a stream.
func (r *Records) Add(now clock.Instant, id StreamID, o Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams == nil {
		// NewLRU fails only for a size below one.
		r.streams, _ = simplelru.NewLRU[StreamID, record](maxRecords, nil)
	}
	r.streams.Add(id, record{origin: o, at: now})
}

// Find returns the origin of a stream.
func (r *Records) Find(now clock.Instant, id StreamID) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams == nil {
		return Origin{}, false
	}
	rec, ok := r.streams.Peek(id)
	if !ok || now.Sub(rec.at) > KeepTime {
		return Origin{}, false
	}
	return rec.origin, true
}

// Expire forgets the streams that are no longer remembered.
func (r *Records) Expire(now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams == nil {
		return
	}
	for {
		id, rec, ok := r.streams.GetOldest()
		if !ok || now.Sub(rec.at) <= KeepTime {
			return
		}
		r.streams.Remove(id)
	}
}

// Len returns the number of remembered streams.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams == nil {
		return 0
	}
	return r.streams.Len()
}

// Each calls f for each remembered stream.
func (r *Records) Each(now clock.Instant, f func(StreamID, Origin)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams == nil {
		return
	}
	for _, id := range r.streams.Keys() {
		if rec, ok := r.streams.Peek(id); ok && now.Sub(rec.at) <= KeepTime {
			f(id, rec.origin)
		}
	}
}
