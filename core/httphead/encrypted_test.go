package httphead

import (
	"crypto/rand"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEncryptedBytesCountAsFields guards against counting line feeds among encrypted bytes as the header fields of a response.
func TestEncryptedBytesCountAsFields(t *testing.T) {
	body := make([]byte, 1<<20)
	// It never fails.
	_, _ = rand.Read(body)
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// A failure shows at the client.
		_, _ = w.Write(body)
	}))
	defer srv.Close()
	base, ok := srv.Client().Transport.(*http.Transport)
	qt.Assert(t, ok, qt.IsTrue)
	failed := 0
	for range 20 {
		cl := &http.Client{Transport: NewTransport(&http.Transport{TLSClientConfig: base.TLSClientConfig}), Timeout: 10 * time.Second}
		res, err := cl.Get(srv.URL)
		qt.Assert(t, err, qt.IsNil)
		got, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		cl.CloseIdleConnections()
		if err != nil {
			t.Log(err)
			failed++
			continue
		}
		qt.Check(t, len(got), qt.Equals, len(body))
	}
	qt.Assert(t, failed, qt.Equals, 0)
}
