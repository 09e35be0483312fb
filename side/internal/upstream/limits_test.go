package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/httphead"
	"rattantrack.dev/core/jsonstream"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
)

type discardSink struct{}

func (discardSink) Head(int, []peer.Header) error { return nil }

func (discardSink) Chunk([]byte) error { return nil }

// serveRaw serves connections that send a text in place of an answer and stay open.
func serveRaw(t *testing.T, text string) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nc, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		// The client closes the connection at some time.
		_, _ = io.WriteString(nc, text)
		_, _ = io.Copy(io.Discard, buffered)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// TestHeadWithoutEndIsRead guards against keeping heads of up to the 10 MB that net/http allows, each many times over.
func TestHeadWithoutEndIsRead(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	var fields strings.Builder
	for i := range 100_000 {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	call := Call{Method: http.MethodPost, Path: "/", Body: []byte("a")}

	t.Run("short fields", func(t *testing.T) {
		_, err := New(serveRaw(t, status+fields.String())).Run(ctx, call, discardSink{})
		var fieldsErr *httphead.FieldsError
		var cut *TruncatedError
		qt.Assert(t, errors.As(err, &fieldsErr), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, errors.As(err, &cut), qt.IsTrue, qt.Commentf("%v", err))
	})
	t.Run("one field", func(t *testing.T) {
		_, err := New(serveRaw(t, status+"A: "+strings.Repeat("x", 1<<20))).Run(ctx, call, discardSink{})
		qt.Assert(t, err, qt.ErrorMatches, ".*response headers exceeded 65536 bytes.*")
	})
}

// TestUnfinishedEventsTakeAllMemory guards against keeping an event of each call up to its limit.
func TestUnfinishedEventsTakeAllMemory(t *testing.T) {
	c := qt.New(t)
	event := "data: " + strings.Repeat("x", maxEventBytes/2)
	url := serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 10000000\r\n\r\ndata: y\n\n"+event)
	budget := &memorybudget.Budget{Limit: 4 * maxEventBytes}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	results := make(chan error)
	const calls = 16
	for range calls {
		go func() {
			lease := budget.Open()
			defer lease.Close()
			_, err := New(url).Run(ctx, Call{Method: http.MethodPost, Path: "/", Body: []byte("a"), Memory: lease}, discardSink{})
			results <- err
		}()
	}
	full := 0
	for range calls {
		var fullErr *memorybudget.FullError
		if errors.As(<-results, &fullErr) {
			full++
		}
	}
	c.Assert(full >= calls-4, qt.IsTrue, qt.Commentf("%d calls found no memory", full))
	c.Assert(budget.Status().Used, qt.Equals, int64(0))
}

// TestImportReplyWithoutEndIsRead guards against keeping whatever an engine replies.
func TestImportReplyWithoutEndIsRead(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		for part := strings.Repeat(" ", 32<<10); err == nil; {
			_, err = io.WriteString(w, part)
		}
	}))
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := New(srv.URL).Import(ctx, 1, strings.NewReader("a prefix"))
	var limitErr *jsonstream.LimitError
	c.Assert(errors.As(err, &limitErr), qt.IsTrue, qt.Commentf("%v", err))
}
