package httplisten

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStopCutsRequestThatABufferHoldsInPart guards against ending a connection on which a request has begun to arrive, whose beginning was read with the
// request before.
func TestStopCutsRequestThatABufferHoldsInPart(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, &Limit{}, func(srv *http.Server) { srv.ReadHeaderTimeout = 2 * time.Second })
	cl := dial(t, s.address)
	_, err := io.WriteString(cl, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\n")
	c.Assert(err, qt.IsNil)
	c.Assert(cl.status(), qt.Equals, http.StatusOK)
	time.Sleep(50 * time.Millisecond)
	stopped := s.stop()
	// A failure shows in the status.
	_, _ = io.WriteString(cl, "Host: a\r\n\r\n")
	c.Check(cl.status(), qt.Equals, http.StatusOK)
	c.Check(<-stopped, qt.IsNil)
}
