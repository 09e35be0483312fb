package operator

import (
	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"
)

// Descriptors returns how many files the process may open: the kernel's limit, or the configured one if that is lower. 0 stands for no
// limit.
func Descriptors(configured int, l *log.Logger) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		l.Warn("the kernel's limit on open files is not known", "error", err)
		return configured
	}
	if configured > 0 && uint64(configured) < limit.Cur {
		return configured
	}
	const most = 1 << 20
	return int(min(limit.Cur, most))
}
