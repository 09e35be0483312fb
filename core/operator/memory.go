package operator

import "runtime/debug"

// Memory and garbage collection of a process whose memory is known.
const (
	// memoryFraction is the part of the process's memory that the Go runtime may use. Memory outside the runtime, such as
	// socket buffers, needs the rest.
	memoryFraction = 0.7
	// limitedGCPercent lets the heap grow more than gcPercent, which saves processor time. The memory limit still bounds it.
	limitedGCPercent = 50
)

// LimitMemory sets the runtime's memory limit for a process with the given memory in MB, 0 for no limit.
func LimitMemory(mb int64) {
	if mb <= 0 {
		return
	}
	debug.SetGCPercent(limitedGCPercent)
	debug.SetMemoryLimit(int64(memoryFraction * float64(mb<<20)))
}
