package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ticksPerSecond is the unit of processor times in /proc on Linux.
const ticksPerSecond = 100

// Usage is what a process has used so far.
type Usage struct {
	CPU      time.Duration
	Resident int64
}

// usage reads what a process has used from /proc.
func usage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "reading processor time")
	}
	// The name in parentheses may hold spaces; the fields are counted after it.
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
