package sides

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// Bounds of the prefix transfers between sides.
const (
	prefixChunkBytes = 64 << 10
	maxPrefixBytes   = 256 << 20
	// maxTransfers bounds the prefixes that one side sends at a time, and with them its sending rate.
	maxTransfers  = 4
	exportTimeout = 2 * time.Second
)

// TooManyTransfersError reports a side that is already sending maxTransfers prefixes.
type TooManyTransfersError struct{}

func (*TooManyTransfersError) Error() string { return "too many prefixes are being sent" }

// PrefixSizeError reports a prefix that is larger than sides transfer.
type PrefixSizeError struct {
	Limit int
}

func (e *PrefixSizeError) Error() string { return fmt.Sprintf("prefix of more than %d bytes", e.Limit) }

// Engine exports and imports prefixes of its cache.
type Engine interface {
	Export(ctx context.Context, chat uint64) (io.ReadCloser, error)
	Import(ctx context.Context, chat uint64, prefix io.Reader) (settings.Tokens, error)
}

// PrefixTransfer copies prefixes between the engines of two sides.
type PrefixTransfer struct {
	Dialer Dialer
	Engine Engine

	sending chan struct{}
}

// NewPrefixTransfer returns a PrefixTransfer for the engine of this side.
func NewPrefixTransfer(d Dialer, e Engine) *PrefixTransfer {
	return &PrefixTransfer{Dialer: d, Engine: e, sending: make(chan struct{}, maxTransfers)}
}

// Fetch copies the prefix of a chat from the side at an address into this side's engine, and returns its tokens.
func (p *PrefixTransfer) Fetch(ctx context.Context, address string, chat uint64) (settings.Tokens, error) {
	link, err := p.Dialer.Dial(ctx, address)
	if err != nil {
		return 0, err
	}
	st, err := link.Open(ctx, &peer.FetchPrefix{Chat: chat})
	if err != nil {
		return 0, err
	}
	defer st.Close()
	prefix := &prefixReader{ctx: ctx, stream: st}
	// Nothing is imported if the other side has no prefix to send.
	if err := prefix.receive(); err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	tokens, err := p.Engine.Import(ctx, chat, prefix)
	if prefix.err != nil && !errors.Is(prefix.err, io.EOF) {
		return 0, prefix.err
	}
	return tokens, err
}

// prefixReader reads a prefix while it is received, so that no part of it is kept.
type prefixReader struct {
	ctx    context.Context
	stream *peer.Stream
	chunk  []byte
	bytes  int
	err    error
}

// Read returns io.EOF only if the prefix has arrived completely.
func (r *prefixReader) Read(p []byte) (int, error) {
	for len(r.chunk) == 0 {
		if err := r.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.chunk)
	r.chunk = r.chunk[n:]
	return n, nil
}

// receive waits for the next chunk. It returns io.EOF after the last one.
func (r *prefixReader) receive() error {
	if r.err != nil {
		return r.err
	}
	m, err := r.stream.Receive(r.ctx)
	if err != nil {
		r.err = err
		return err
	}
	switch v := m.(type) {
	case *peer.Chunk:
		r.chunk = v.Data
		if r.bytes += len(v.Data); r.bytes > maxPrefixBytes {
			r.err = &PrefixSizeError{Limit: maxPrefixBytes}
		}
	case *peer.End:
		r.err = io.EOF
	}
	return r.err
}

// Serve sends the prefix that another side requests.
func (p *PrefixTransfer) Serve(ctx context.Context, st *peer.Stream, f *peer.FetchPrefix) {
	if err := p.send(ctx, st, f.Chat); err != nil {
		_ = st.Send(ctx, &peer.Reset{Reason: err.Error()})
	}
}

func (p *PrefixTransfer) send(ctx context.Context, st *peer.Stream, chat uint64) error {
	select {
	case p.sending <- struct{}{}:
		defer func() { <-p.sending }()
	default:
		return &TooManyTransfersError{}
	}
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	prefix, err := p.Engine.Export(ctx, chat)
	if err != nil {
		return err
	}
	defer func() { _ = prefix.Close() }()
	sent := 0
	for seq := uint32(1); ; seq++ {
		chunk, err := readChunk(prefix)
		if err != nil && !errors.Is(err, io.EOF) {
			return errors.Wrap(err, "reading a prefix")
		}
		if sent += len(chunk); sent > maxPrefixBytes {
			return &PrefixSizeError{Limit: maxPrefixBytes}
		}
		ended := err != nil
		if err := st.Send(ctx, &peer.Chunk{Seq: seq, Data: chunk}); err != nil {
			return err
		}
		if ended {
			return st.Send(ctx, &peer.End{Chunks: seq})
		}
	}
}

// readChunk reads the next chunk of a prefix. It returns io.EOF with the last one, which may be empty.
func readChunk(prefix io.Reader) ([]byte, error) {
	chunk := make([]byte, prefixChunkBytes)
	n := 0
	for n < len(chunk) {
		m, err := prefix.Read(chunk[n:])
		n += m
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}
