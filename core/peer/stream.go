package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Flow control of one stream.
const (
	// chunkWindow is the number of chunks that may be sent before the receiver has read them.
	chunkWindow = 64
	// inboxLength leaves room for the messages other than chunks.
	inboxLength = chunkWindow + 8
)

// ResetError reports a stream that the other end has reset.
type ResetError struct {
	Reason string
}

func (e *ResetError) Error() string { return "stream reset: " + e.Reason }

// Stream is one exchange of messages on a link.
type Stream struct {
	link   *Link
	id     StreamID
	inbox  chan Message
	credit chan struct{}
	// window is the number of chunks that may still be sent. credit wakes a sender that waits for it to grow.
	window atomic.Int64
	// consumed is the number of chunks that Receive has returned since the last Window was sent.
	consumed int
	once     sync.Once
}

// Pending returns the number of messages that have arrived but were not returned by Receive yet.
func (s *Stream) Pending() int { return len(s.inbox) }

// Link returns the link that carries the stream.
func (s *Stream) Link() *Link { return s.link }

// Send sends a message. Chunks wait until the receiver's window has room.
func (s *Stream) Send(ctx context.Context, m Message) error {
	if _, ok := m.(*Chunk); ok {
		if err := s.takeCredit(ctx); err != nil {
			return err
		}
	}
	return s.link.send(ctx, s.id, m)
}

func (s *Stream) takeCredit(ctx context.Context) error {
	for s.window.Load() <= 0 {
		select {
		case <-s.credit:
		case <-s.link.closed:
			return s.link.streamErr(s.id)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.window.Add(-1)
	return nil
}

// deliver queues a message for Receive. It never blocks the link.
func (s *Stream) deliver(m Message) {
	if w, ok := m.(*Window); ok {
		s.window.Add(int64(w.N))
		select {
		case s.credit <- struct{}{}:
		default:
		}
		return
	}
	select {
	case s.inbox <- m:
	default:
		// The other end has ignored the window. Only this stream is dropped, so that no other stream is affected.
		s.Close()
	}
}

// Receive returns the next message. It fails when the link or ctx ends or the other end resets the stream.
func (s *Stream) Receive(ctx context.Context) (Message, error) {
	select {
	case m := <-s.inbox:
		return s.finishReceive(ctx, m)
	default:
	}
	select {
	case m := <-s.inbox:
		return s.finishReceive(ctx, m)
	case <-s.link.closed:
		return s.drainInbox(ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// drainInbox returns the next message that arrived before the link ended, or the link's error.
func (s *Stream) drainInbox(ctx context.Context) (Message, error) {
	select {
	case m := <-s.inbox:
		return s.finishReceive(ctx, m)
	default:
		return nil, s.link.streamErr(s.id)
	}
}

// finishReceive turns a Reset into an error and sends a Window when enough chunks were received.
func (s *Stream) finishReceive(ctx context.Context, m Message) (Message, error) {
	switch v := m.(type) {
	case *Goodbye:
		return nil, &NotReceivedError{}
	case *Reset:
		return nil, &ResetError{Reason: v.Reason}
	case *Chunk:
		s.consumed++
		if s.consumed < chunkWindow/2 {
			return m, nil
		}
		n := s.consumed
		s.consumed = 0
		// The error is ignored, because a later Receive fails if the link has ended.
		_ = s.link.send(ctx, s.id, &Window{N: n})
	}
	return m, nil
}

// Close removes the stream from its link. Late messages for it are dropped.
func (s *Stream) Close() {
	s.once.Do(func() {
		s.link.mu.Lock()
		delete(s.link.streams, s.id)
		s.link.openStreams.Add(-1)
		s.link.mu.Unlock()
		s.link.closeIfRetired()
	})
}

// Open opens a stream with its first message.
func (l *Link) Open(ctx context.Context, m Message) (*Stream, error) {
	return l.open(ctx, outgoing{m: m})
}

// OpenLarge opens a stream like Open. The link holds the message until written is closed or the link ends, also if the stream ends before.
// After an error it does not hold it.
func (l *Link) OpenLarge(ctx context.Context, m Message) (s *Stream, written <-chan struct{}, err error) {
	done := make(chan struct{})
	s, err = l.open(ctx, outgoing{m: m, written: done})
	return s, done, err
}

func (l *Link) open(ctx context.Context, o outgoing) (*Stream, error) {
	// Streams are sent in the order of their numbers, which a Goodbye relies on.
	select {
	case l.opening <- struct{}{}:
		defer func() { <-l.opening }()
	case <-l.closed:
		return nil, &RetiredError{}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	if l.retired {
		l.mu.Unlock()
		return nil, &RetiredError{}
	}
	o.id = l.nextID
	l.nextID += 2
	s := l.add(o.id)
	l.mu.Unlock()
	l.startHeartbeat()
	if err := l.enqueue(ctx, o); err != nil {
		s.Close()
		if l.Ended() {
			err = l.streamErr(o.id)
		}
		return nil, err
	}
	return s, nil
}

// RetiredError reports a link that is about to end and on which nothing was sent.
type RetiredError struct{}

func (e *RetiredError) Error() string { return "link retired" }

// Retire closes the link once its open streams have ended, and opens no new ones. The other end is about to stop: closing the
// link here ensures that no request crosses its end.
func (l *Link) Retire() {
	l.mu.Lock()
	l.retired = true
	l.mu.Unlock()
	l.closeIfRetired()
}

// closeIfRetired closes a retired link without open streams. One on which a Goodbye was sent is closed by the other end.
func (l *Link) closeIfRetired() {
	l.mu.Lock()
	idle := l.retired && l.openStreams.Load() == 0 && (!l.finishing || l.goodbye != nil)
	l.mu.Unlock()
	if idle {
		l.Close(&RetiredError{})
	}
}

// Request opens a stream with a request message and waits up to limit for one reply of type T.
func Request[T Message](ctx context.Context, l *Link, request Message, limit time.Duration) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := l.Open(ctx, request)
	if err != nil {
		return zero, err
	}
	defer s.Close()
	m, err := s.Receive(ctx)
	if err != nil {
		return zero, err
	}
	reply, ok := m.(T)
	if !ok {
		return zero, &FrameError{Reason: "unexpected reply"}
	}
	return reply, nil
}

// Notify sends a message on a stream of its own and expects no reply.
func Notify(ctx context.Context, l *Link, m Message) error {
	s, err := l.Open(ctx, m)
	if err != nil {
		return err
	}
	s.Close()
	return nil
}
