package configuration

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/jsonstream"
	"rattantrack.dev/core/settings"
)

// TestResponseWithoutEndIsRead guards against keeping more than the process may hold.
func TestResponseWithoutEndIsRead(t *testing.T) {
	tests := []struct{ name, before, text string }{
		{"blanks", "", " "},
		{"documents", `{"documents":[`, `{},`},
		{"VMs", `{"vms":[`, `{},`},
		{"one value", `{"documents":[{"value":"`, "x"},
		{"one address", `{"vms":[{"address":"`, "x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := io.WriteString(w, tt.before)
				for part := strings.Repeat(tt.text, 8<<10); err == nil; {
					_, err = io.WriteString(w, part)
				}
			}))
			t.Cleanup(func() {
				srv.CloseClientConnections()
				srv.Close()
			})
			cl := &Client{ConfigurationURL: srv.URL, VMListURL: srv.URL, MaxBytes: 1 << 20}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			var limitErr *jsonstream.LimitError
			_, err := cl.Changes(ctx, 0, 0)
			c.Check(errors.As(err, &limitErr), qt.IsTrue, qt.Commentf("%v", err))
			_, err = cl.VMs(ctx)
			c.Check(errors.As(err, &limitErr), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestResponseIsMisread guards against losing fields of a response.
func TestResponseIsMisread(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"revision":7,"whole":true,"documents":[{"key":"teams/a","value":"v","revision":7}],"vms":[{"address":"a:1","role":"entry"}]}`)
	}))
	t.Cleanup(srv.Close)
	cl := &Client{ConfigurationURL: srv.URL, VMListURL: srv.URL}
	delta, err := cl.Changes(context.Background(), 5, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(delta.From, qt.Equals, settings.Revision(0))
	c.Assert(delta.To.Revision, qt.Equals, settings.Revision(7))
	c.Assert(delta.Documents, qt.DeepEquals, []settings.Document{{Key: "teams/a", Value: "v", Revision: 7}})
	vms, err := cl.VMs(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(vms, qt.DeepEquals, []VM{{Address: "a:1", Role: RoleRouter}})
}
