package sides

import (
	"context"
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

// Engine exports and imports prefixes of its cache.
type Engine interface {
	Export(ctx context.Context, chat uint64) ([]byte, error)
	Import(ctx context.Context, chat uint64, prefix []byte) (settings.Tokens, error)
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
	prefix, err := receivePrefix(ctx, st)
	if err != nil {
		return 0, err
	}
	return p.Engine.Import(ctx, chat, prefix)
}

func receivePrefix(ctx context.Context, st *peer.Stream) ([]byte, error) {
	var prefix []byte
	for {
		m, err := st.Receive(ctx)
		if err != nil {
			return nil, err
		}
		switch v := m.(type) {
		case *peer.Chunk:
			prefix = append(prefix, v.Data...)
		case *peer.End:
			return prefix, nil
		}
		if len(prefix) > maxPrefixBytes {
			return nil, errors.Newf("prefix of more than %d bytes", maxPrefixBytes)
		}
	}
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
	seq := uint32(0)
	for len(prefix) > 0 {
		n := min(len(prefix), prefixChunkBytes)
		seq++
		if err := st.Send(ctx, &peer.Chunk{Seq: seq, Data: prefix[:n]}); err != nil {
			return err
		}
		prefix = prefix[n:]
	}
	return st.Send(ctx, &peer.End{Chunks: seq})
}
