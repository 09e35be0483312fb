package peer

import (
	"bufio"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/memorybudget"
)

// startReader starts the goroutine that reads frames and delivers them to their streams. It waits for the handler from Serve.
func (l *Link) startReader(r *bufio.Reader) {
	handlers := make(chan Handler, 1)
	l.mu.Lock()
	l.handlers = handlers
	l.mu.Unlock()
	go func() {
		var handler Handler
		select {
		case handler = <-handlers:
		case <-l.closed:
			return
		}
		l.Close(l.readLoop(r, handler))
	}()
}

// readLoop reads frames until the link fails and then waits for the handlers that it started.
func (l *Link) readLoop(r *bufio.Reader, handler Handler) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for {
		if err := l.receive(ctx, &wg, r, handler); err != nil {
			l.Close(err)
			return err
		}
	}
}

// receive reads one frame and delivers its message.
func (l *Link) receive(ctx context.Context, wg *sync.WaitGroup, r io.Reader, handler Handler) error {
	h, err := readHeader(r, MaxFrameBytes)
	if err != nil {
		return errors.Wrap(err, "reading")
	}
	m, err := l.receiveMessage(r, h)
	var full *memorybudget.FullError
	if errors.As(err, &full) {
		l.markReceived()
		l.skipMessage(h)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "reading")
	}
	l.markReceived()
	return l.dispatch(ctx, wg, handler, h.id, m)
}

func (l *Link) dispatch(ctx context.Context, wg *sync.WaitGroup, handler Handler, id StreamID, m Message) error {
	switch v := m.(type) {
	case *Ping:
		return l.send(ctx, 0, &Pong{})
	case *Pong:
		return nil
	case *Goodbye:
		l.endUnreceived(v)
		return nil
	}
	if s := l.stream(id); s != nil {
		s.deliver(m)
		return nil
	}
	if !l.isRemoteID(id) || !opensStream(m) {
		// The frame belongs to no open stream and cannot open one, for instance because it is late. It is dropped.
		return nil
	}
	if l.inboundStreams.Load() >= maxInboundStreams {
		return l.send(ctx, id, &Reset{Reason: "too many open streams"})
	}
	s := l.addInbound(id)
	if s == nil {
		// The Goodbye tells the other end that the stream was not received.
		return nil
	}
	l.startHeartbeat()
	l.inboundStreams.Add(1)
	wg.Add(1)
	go func() {
		defer wg.Done()
		defer l.inboundStreams.Add(-1)
		defer s.Close()
		handler.Serve(ctx, s, m)
	}()
	return nil
}

// isRemoteID reports whether id has the parity of the streams that the other end opens.
func (l *Link) isRemoteID(id StreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return id != 0 && id%2 != l.nextID%2
}

// opensStream reports whether a message may open a stream.
func opensStream(m Message) bool {
	switch m.(type) {
	case *Submit, *AttemptQuery, *IssueTicket, *ChatServed, *LoadExchange, *Announce, *Pull, *Claim, *Handover, *Leaving,
		*FetchPrefix, *RouterState, *LoadReport, *CrashEvidence, *UsageReport, *WorkReport, *StreamOrigins, *OriginQuery,
		*StateExchange:
		return true
	}
	return false
}

func (l *Link) stream(id StreamID) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id]
}

// add adds an open stream; l.mu is held.
func (l *Link) add(id StreamID) *Stream {
	s := &Stream{link: l, id: id, inbox: make(chan Message, inboxLength), credit: make(chan struct{}, 1)}
	s.window.Store(chunkWindow)
	l.streams[id] = s
	l.openStreams.Add(1)
	return s
}

// addInbound adds a stream that the other end opens, or returns nil if the link takes no more.
func (l *Link) addInbound(id StreamID) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.finishing {
		return nil
	}
	l.lastInbound = max(l.lastInbound, id)
	return l.add(id)
}

// startHeartbeat starts the heartbeat if it is not running.
func (l *Link) startHeartbeat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heartbeatRunning {
		return
	}
	l.heartbeatRunning = true
	// An idle link has no heartbeat, so the time without a received frame counts from now.
	l.markReceived()
	time.AfterFunc(0, l.heartbeat)
}

// heartbeat sends a ping, or closes the link if nothing was received for too long. It stops when no stream is open.
func (l *Link) heartbeat() {
	if l.Ended() {
		return
	}
	if idle := l.IdleFor(); idle > receiveTimeout {
		l.Close(&UnresponsiveError{For: idle})
		return
	}
	l.mu.Lock()
	l.heartbeatRunning = l.openStreams.Load() > 0
	running := l.heartbeatRunning
	l.mu.Unlock()
	if !running {
		return
	}
	// A full queue means that the writer is busy, and the write deadline covers that case.
	select {
	case l.queue <- outgoing{m: &Ping{}}:
	default:
	}
	time.AfterFunc(heartbeatInterval, l.heartbeat)
}

// Serve passes the streams that the other end opens to h. It must be called once.
func (l *Link) Serve(h Handler) {
	l.mu.Lock()
	handlers := l.handlers
	l.mu.Unlock()
	handlers <- h
}
