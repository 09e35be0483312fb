package peer

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// reader starts the goroutine that reads frames and gives them to their streams.
func (l *Link) reader(r *bufio.Reader) {
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
		l.Close(l.readAll(r, handler))
	}()
}

// readAll reads until the link fails and then waits for the streams it is serving.
func (l *Link) readAll(r *bufio.Reader, handler Handler) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for {
		id, m, err := readFrame(r)
		if err != nil {
			l.Close(errors.Wrap(err, "reading"))
			return err
		}
		l.received()
		if err := l.dispatch(ctx, &wg, handler, id, m); err != nil {
			l.Close(err)
			return err
		}
	}
}

func (l *Link) dispatch(ctx context.Context, wg *sync.WaitGroup, handler Handler, id StreamID, m Message) error {
	switch m.(type) {
	case *Ping:
		return l.send(ctx, 0, &Pong{})
	case *Pong:
		return nil
	}
	if s := l.stream(id); s != nil {
		s.deliver(m)
		return nil
	}
	if !l.foreign(id) || !opens(m) {
		// A frame for a stream that has ended here is late and means nothing any more.
		return nil
	}
	if l.inbound.Load() >= maxInboundStreams {
		return l.send(ctx, id, &Reset{Reason: "too many open streams"})
	}
	s := l.add(id)
	l.inbound.Add(1)
	wg.Add(1)
	go func() {
		defer wg.Done()
		defer l.inbound.Add(-1)
		defer s.Close()
		handler.Serve(ctx, s, m)
	}()
	return nil
}

// foreign reports whether the other end numbers streams like id.
func (l *Link) foreign(id StreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return id != 0 && id%2 != l.nextID%2
}

// opens reports whether a message may begin a stream.
func opens(m Message) bool {
	switch m.(type) {
	case *Submit, *AttemptQuery, *IssueTicket, *ChatPlaced, *LoadExchange, *Announce, *Pull, *Claim, *Handover, *Leaving, *FetchPrefix, *RouterState:
		return true
	}
	return false
}

func (l *Link) stream(id StreamID) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id]
}

func (l *Link) add(id StreamID) *Stream {
	s := &Stream{link: l, id: id, inbox: make(chan Message, inboxLength), credit: make(chan struct{}, 1)}
	s.window.Store(chunkWindow)
	l.mu.Lock()
	l.streams[id] = s
	l.mu.Unlock()
	if l.open.Add(1) == 1 {
		l.beat()
	}
	return s
}

// beat starts the heartbeat unless it is running.
func (l *Link) beat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.beating {
		return
	}
	l.beating = true
	// Silence counts from now: an idle link owes nobody a sign of life.
	l.received()
	time.AfterFunc(0, l.heartbeat)
}

// heartbeat pings, and ends the link after too long a silence; it stops when no stream is open.
func (l *Link) heartbeat() {
	if l.Ended() {
		return
	}
	if silence := l.IdleFor(); silence > silenceLimit {
		l.Close(&SilentError{For: silence})
		return
	}
	l.mu.Lock()
	l.beating = l.open.Load() > 0
	beating := l.beating
	l.mu.Unlock()
	if !beating {
		return
	}
	// A full queue means that the writer is busy, which its own deadline watches.
	select {
	case l.queue <- outgoing{m: &Ping{}}:
	default:
	}
	time.AfterFunc(heartbeatInterval, l.heartbeat)
}

// Serve gives the streams that the other end opens to h; it must be called once.
func (l *Link) Serve(h Handler) {
	l.mu.Lock()
	handlers := l.handlers
	l.mu.Unlock()
	handlers <- h
}
