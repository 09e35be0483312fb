package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Flow control of one stream.
const (
	// chunkWindow is the number of chunks that may be on their way unread.
	chunkWindow = 64
	// inboxLength leaves room for the messages around the chunks.
	inboxLength = chunkWindow + 8
)

// ResetError reports a stream that the other end gave up.
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
	window atomic.Int64
	unread int
	once   sync.Once
}

// Pending returns the number of messages that have arrived and were not received yet.
func (s *Stream) Pending() int { return len(s.inbox) }

// Link returns the link that carries the stream.
func (s *Stream) Link() *Link { return s.link }

// Send sends a message; chunks wait until the receiver has room for them.
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
			return s.link.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.window.Add(-1)
	return nil
}

// deliver hands a received message to whoever receives; it never blocks the link.
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
		// The other end ignored the window: it loses this stream and harms no other.
		s.Close()
	}
}

// Receive returns the next message; it fails when the link or ctx ends or the other end resets the stream.
func (s *Stream) Receive(ctx context.Context) (Message, error) {
	select {
	case m := <-s.inbox:
		return s.taken(ctx, m)
	default:
	}
	select {
	case m := <-s.inbox:
		return s.taken(ctx, m)
	case <-s.link.closed:
		return s.drainInbox(ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// drainInbox returns what had arrived before the link ended.
func (s *Stream) drainInbox(ctx context.Context) (Message, error) {
	select {
	case m := <-s.inbox:
		return s.taken(ctx, m)
	default:
		return nil, s.link.Err()
	}
}

func (s *Stream) taken(ctx context.Context, m Message) (Message, error) {
	switch v := m.(type) {
	case *Reset:
		return nil, &ResetError{Reason: v.Reason}
	case *Chunk:
		s.unread++
		if s.unread < chunkWindow/2 {
			return m, nil
		}
		n := s.unread
		s.unread = 0
		// A failed send shows as the link's end at the next Receive.
		_ = s.link.send(ctx, s.id, &Window{N: n})
	}
	return m, nil
}

// Close forgets the stream; late messages for it are dropped.
func (s *Stream) Close() {
	s.once.Do(func() {
		s.link.mu.Lock()
		delete(s.link.streams, s.id)
		s.link.mu.Unlock()
		s.link.open.Add(-1)
	})
}

// Open begins a stream with its first message.
func (l *Link) Open(ctx context.Context, m Message) (*Stream, error) {
	l.mu.Lock()
	id := l.nextID
	l.nextID += 2
	l.mu.Unlock()
	s := l.add(id)
	if err := s.Send(ctx, m); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Ask opens a stream with a question and waits for one answer.
func Ask[T Message](ctx context.Context, l *Link, question Message, limit time.Duration) (T, error) {
	var none T
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := l.Open(ctx, question)
	if err != nil {
		return none, err
	}
	defer s.Close()
	m, err := s.Receive(ctx)
	if err != nil {
		return none, err
	}
	answer, ok := m.(T)
	if !ok {
		return none, &FrameError{Reason: "unexpected answer"}
	}
	return answer, nil
}

// Notify opens a stream with a message that wants no answer.
func Notify(ctx context.Context, l *Link, m Message) error {
	s, err := l.Open(ctx, m)
	if err != nil {
		return err
	}
	s.Close()
	return nil
}
