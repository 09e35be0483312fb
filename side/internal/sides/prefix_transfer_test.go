package sides

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// fakeEngine exports what a reader has, and keeps the length and the end of what it imports, and a small prefix itself.
type fakeEngine struct {
	export    func() (io.Reader, error)
	imports   int
	imported  int64
	importErr error
	prefix    bytes.Buffer
}

func (e *fakeEngine) Export(context.Context, uint64) (io.ReadCloser, error) {
	r, err := e.export()
	return io.NopCloser(r), err
}

func (e *fakeEngine) Import(_ context.Context, _ uint64, prefix io.Reader) (settings.Tokens, error) {
	e.imports++
	head := io.LimitReader(prefix, 1<<20)
	n, err := io.Copy(&e.prefix, head)
	if err == nil {
		var m int64
		m, err = io.Copy(io.Discard, prefix)
		n += m
	}
	e.imported, e.importErr = n, err
	return settings.Tokens(n), err
}

// serveExport makes a PrefixTransfer serve what an engine exports, and returns an address.
func serveExport(t *testing.T, export func() (io.Reader, error)) string {
	t.Helper()
	p := NewPrefixTransfer(nil, &fakeEngine{export: export})
	endpoint := newEndpoint(t, p)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = endpoint.Listen(ctx, ln)
	}()
	t.Cleanup(func() {
		cancel()
		endpoint.Close()
		<-done
	})
	return ln.Addr().String()
}

type prefixHandler struct{ transfer *PrefixTransfer }

func (h prefixHandler) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	if f, ok := m.(*peer.FetchPrefix); ok {
		h.transfer.Serve(ctx, st, f)
	}
}

func newEndpoint(t *testing.T, p *PrefixTransfer) *peer.Endpoint {
	t.Helper()
	allow, err := peer.ParseNetworks([]string{"127.0.0.0/8"})
	qt.Assert(t, err, qt.IsNil)
	e := &peer.Endpoint{
		LocalHello: func() peer.Hello {
			return peer.Hello{Protocol: peer.ProtocolVersion, Role: peer.RoleSide, ID: "test", Sent: clock.Boot{}.Now()}
		},
		Handler: prefixHandler{p},
		Allow:   allow,
	}
	t.Cleanup(e.Close)
	return e
}

// fetch fetches a prefix from an address for an engine.
func fetch(t *testing.T, address string, engine Engine) (settings.Tokens, error) {
	t.Helper()
	p := &PrefixTransfer{Engine: engine, Dialer: newEndpoint(t, nil)}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return p.Fetch(ctx, address, 1)
}

// zeros reads as many zero bytes as it has.
type zeros struct{ n int64 }

func (z *zeros) Read(p []byte) (int, error) {
	if z.n == 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), z.n)
	clear(p[:n])
	z.n -= n
	return int(n), nil
}

// TestPrefixesAreKept guards against keeping prefixes while they are transferred, some of which are larger than a side's memory.
func TestPrefixesAreKept(t *testing.T) {
	c := qt.New(t)
	const size = 64 << 20
	address := serveExport(t, func() (io.Reader, error) { return &zeros{n: size}, nil })
	stop, stopped := make(chan struct{}), make(chan uint64)
	go func() {
		peak := uint64(0)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			select {
			case <-stop:
				stopped <- peak
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	engine := &fakeEngine{}
	tokens, err := fetch(t, address, engine)
	close(stop)
	peak := <-stopped
	c.Assert(err, qt.IsNil)
	c.Assert(tokens, qt.Equals, settings.Tokens(size))
	c.Assert(peak < size, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
}

// TestPartOfPrefixIsImported guards against taking a part of a prefix for the whole.
func TestPartOfPrefixIsImported(t *testing.T) {
	errBroken := errors.New("broken")
	tests := []struct {
		name    string
		export  func() (io.Reader, error)
		imports int
	}{
		{"no prefix", func() (io.Reader, error) { return nil, errBroken }, 0},
		{"broken off", func() (io.Reader, error) {
			return io.MultiReader(&zeros{n: 3 * prefixChunkBytes}, iotest.ErrReader(io.ErrUnexpectedEOF)), nil
		}, 1},
		{"over the bound", func() (io.Reader, error) { return &zeros{n: maxPrefixBytes + 1}, nil }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			engine := &fakeEngine{}
			_, err := fetch(t, serveExport(t, tt.export), engine)
			c.Assert(err, qt.IsNotNil)
			c.Assert(engine.imports, qt.Equals, tt.imports)
			if tt.imports > 0 {
				c.Assert(engine.importErr, qt.IsNotNil)
			}
		})
	}
}

// TestPrefixIsMixedUp guards against losing or changing bytes between the chunks.
func TestPrefixIsMixedUp(t *testing.T) {
	for _, size := range []int{0, 1, prefixChunkBytes, 3*prefixChunkBytes + 5} {
		prefix := make([]byte, size)
		for i := range prefix {
			prefix[i] = byte(i * 7)
		}
		engine := &fakeEngine{}
		_, err := fetch(t, serveExport(t, func() (io.Reader, error) { return iotest.HalfReader(bytes.NewReader(prefix)), nil }), engine)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, bytes.Equal(engine.prefix.Bytes(), prefix), qt.IsTrue, qt.Commentf("%d bytes", size))
	}
}
