package requestbody

import (
	"net/http"
	"time"
)

const (
	// maxDrainBytes and drainTime bound the rest of a body that is read, and dropped, to keep the connection of a refused request. net/http
	// reads no more than 256 KiB of a body without a length.
	maxDrainBytes = 64 << 10
	drainTime     = 100 * time.Millisecond
)

// Abandon makes the server answer without waiting for the rest of a body that nobody needs. It must be called before the response is
// written.
func Abandon(w http.ResponseWriter, req *http.Request) {
	if req.ContentLength == 0 {
		return
	}
	if req.ContentLength > maxDrainBytes {
		w.Header().Set("Connection", "close")
	}
	// An error means that the connection has ended.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime))
}
