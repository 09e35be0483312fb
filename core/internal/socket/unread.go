package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether bytes have arrived on a connection that nobody has read.
func HasUnread(nc net.Conn) bool {
	var n int
	Control(nc, func(fd int) {
		n, _, _ = unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n > 0
}

// ReadNow reads what has arrived on a connection, whatever its deadline, and returns the number of bytes.
func ReadNow(nc net.Conn, p []byte) (n int) {
	Control(nc, func(fd int) {
		n, _, _ = unix.Recvfrom(fd, p, unix.MSG_DONTWAIT)
	})
	return max(0, n)
}

// HasQueued reports whether a connection waits to be accepted.
func HasQueued(ln net.Listener) (queued bool) {
	Control(ln, func(fd int) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		queued = n > 0 && err == nil
	})
	return queued
}

// Control calls f with the descriptor of a connection or listener, unless it has none or is closed.
func Control(v any, f func(fd int)) {
	sc, ok := v.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
