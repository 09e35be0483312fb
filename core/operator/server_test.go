package operator

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/httplisten"
)

// TestUnusedConnectionsKeepTLSCallersOut guards against limits that do not see the connections below TLS.
func TestUnusedConnectionsKeepTLSCallersOut(t *testing.T) {
	c := qt.New(t)
	issuer := httptest.NewTLSServer(nil)
	defer issuer.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := ln.Addr().String()
	c.Assert(ln.Close(), qt.IsNil)
	limit := &httplisten.Limit{Port: "test", Connections: 2, HeaderFields: 20, Log: log.New(io.Discard), Scope: tally.NoopScope}
	srv := &http.Server{
		Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ReadHeaderTimeout: time.Minute,
		TLSConfig:         &tls.Config{Certificates: issuer.TLS.Certificates},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- ServeHTTP(ctx, srv, address, limit, Stop{Time: time.Second}, func() { close(ready) }) }()
	<-ready
	for range 4 {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	for range 3 {
		res, err := issuer.Client().Get("https://" + address)
		c.Assert(err, qt.IsNil)
		c.Check(res.StatusCode, qt.Equals, http.StatusOK)
		_ = res.Body.Close()
	}
	c.Check(limit.Open() <= 2, qt.IsTrue)
	cancel()
	c.Assert(<-done, qt.IsNil)
}
