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
		// The client closes the connection.
		_, _ = io.WriteString(nc, text)
		_, _ = buffered.ReadByte()
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
