package affinity

import (
	"encoding/binary"
	"fmt"
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/settings"
)

// Encoding of a Batch.
const (
	// blockIDBytes is the size of a block id.
	blockIDBytes = 8
	// ageUnit is the unit of an age, which takes one byte. The largest age exceeds entryLifetime.
	ageUnit = 250 * time.Millisecond
	maxAge  = 255
)

// Batch holds the cache entries of one upstream in the form that routers exchange. A fleet exchanges thousands of entries
// a second, so each takes only 9 bytes.
type Batch struct {
	Upstream settings.UpstreamID
	// Blocks holds the block ids, 8 bytes each in network byte order. Ages holds the time since the last use of each block,
	// one byte each in units of 250 ms.
	Blocks []byte
	Ages   []byte
}

// MalformedBatchError reports a batch whose numbers of block ids and ages differ.
type MalformedBatchError struct {
	Upstream             settings.UpstreamID
	BlockBytes, AgeCount int
}

func (e *MalformedBatchError) Error() string {
	return fmt.Sprintf("batch of upstream %q has %d bytes of block ids for %d ages", e.Upstream, e.BlockBytes, e.AgeCount)
}

// Pack groups cache entries by upstream.
func Pack(entries []CacheEntry) []Batch {
	index := make(map[settings.UpstreamID]int)
	var batches []Batch
	for _, entry := range entries {
		i, ok := index[entry.Upstream]
		if !ok {
			i = len(batches)
			index[entry.Upstream] = i
			batches = append(batches, Batch{Upstream: entry.Upstream})
		}
		b := &batches[i]
		b.Blocks = binary.BigEndian.AppendUint64(b.Blocks, uint64(entry.Block))
		b.Ages = append(b.Ages, byte(min(maxAge, max(0, entry.Age/ageUnit))))
	}
	return batches
}

// Unpack returns the cache entries of the batches. At a malformed batch it returns the entries so far and a
// MalformedBatchError.
func Unpack(batches []Batch) ([]CacheEntry, error) {
	var entries []CacheEntry
	for _, b := range batches {
		if len(b.Blocks) != blockIDBytes*len(b.Ages) {
			return entries, &MalformedBatchError{Upstream: b.Upstream, BlockBytes: len(b.Blocks), AgeCount: len(b.Ages)}
		}
		for i, age := range b.Ages {
			block := binary.BigEndian.Uint64(b.Blocks[blockIDBytes*i:])
			entries = append(entries, CacheEntry{
				Block: call.PromptBlockID(block), Upstream: b.Upstream, Age: time.Duration(age) * ageUnit,
			})
		}
	}
	return entries, nil
}
