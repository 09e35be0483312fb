package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ticksPerSecond is the resolution of the CPU times in /proc on Linux (USER_HZ).
const ticksPerSecond = 100

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the user and system time so far.
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

// readUsage reads the resource usage of a process from /proc.
func readUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "reading processor time")
	}
	// The program name in parentheses may contain spaces, so fields are counted from its end.
	text := string(stat)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const userField, systemField, residentField = 11, 12, 21
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	pages, _ := strconv.ParseInt(fields[residentField], 10, 64)
	return Usage{
		CPU:      time.Duration(user+system) * time.Second / ticksPerSecond,
		Resident: pages * int64(os.Getpagesize()),
	}, nil
}
