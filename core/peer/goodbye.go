package peer

import (
	"context"
	"net"
	"sync"
	"time"
)

// Times of the end of a link.
const (
	// goodbyeTimeout is how long the other end of a link has to end it after a Goodbye.
	goodbyeTimeout = time.Second
	// lastReadTime is how long a link that cannot be written to is still read, since a Goodbye may lie unread.
	lastReadTime = 100 * time.Millisecond
)

// Goodbye announces that the sender ends the link. It has received none of the receiver's streams after Last, and opens no more.
type Goodbye struct {
	Last StreamID
}

// Kind returns KindGoodbye.
func (*Goodbye) Kind() Kind { return KindGoodbye }

// NotReceivedError reports a stream that the other end has not received and will not, because the link has ended.
type NotReceivedError struct{}

func (*NotReceivedError) Error() string { return "stream not received before the end of the link" }

// finish ends the link in order: it opens no more streams in either direction and tells the other end which ones it has received, so that
// those which lie unread or are on their way are not in doubt. The other end closes the link when its streams have ended.
func (l *Link) finish() {
	l.mu.Lock()
	begun := l.finishing
	l.finishing, l.retired = true, true
	last := l.lastInbound
	l.mu.Unlock()
	if begun {
		return
	}
	if l.Version() < GoodbyeVersion {
		l.Close(nil)
		return
	}
	timer := time.AfterFunc(goodbyeTimeout, func() { l.Close(nil) })
	l.onEnd(func() { timer.Stop() })
	// An error means that the link has ended; a full queue must not hold up the caller.
	go func() { _ = l.send(context.Background(), 0, &Goodbye{Last: last}) }()
}

// finishIfIdle ends a link without open streams in order and reports whether it did.
func (l *Link) finishIfIdle() bool {
	l.mu.Lock()
	idle := l.openStreams.Load() == 0
	l.retired = l.retired || idle
	l.mu.Unlock()
	if idle {
		l.finish()
	}
	return idle
}

// endUnreceived ends the streams that the other end has not received, and the link once the others have ended.
func (l *Link) endUnreceived(m *Goodbye) {
	l.mu.Lock()
	l.retired, l.goodbye = true, m
	var unreceived []*Stream
	for id, s := range l.streams {
		if l.isUnreceived(id) {
			unreceived = append(unreceived, s)
		}
	}
	l.mu.Unlock()
	for _, s := range unreceived {
		s.deliver(m)
	}
	l.Retire()
}

// isUnreceived reports whether the other end has said that it has not received a stream of this end, or nothing of it was sent and will be; l.mu
// is held.
func (l *Link) isUnreceived(id StreamID) bool {
	if id%2 != l.nextID%2 {
		return false
	}
	return (l.goodbye != nil && id > l.goodbye.Last) || (l.unwritable && id > l.lastEncoded[id%2])
}

// streamErr returns why a stream has ended with its link.
func (l *Link) streamErr(id StreamID) error {
	l.mu.Lock()
	unreceived := l.isUnreceived(id)
	l.mu.Unlock()
	if unreceived {
		return &NotReceivedError{}
	}
	return l.Err()
}

// Shutdown ends every link in order and waits for that. A link that is dialled meanwhile is left.
func (e *Endpoint) Shutdown() {
	links := e.Links()
	for _, l := range links {
		l.finish()
	}
	for _, l := range links {
		<-l.Done()
	}
}

// interruptOnEnd makes reads and writes of a connection fail when ctx ends. The returned function ends that.
func interruptOnEnd(ctx context.Context, conn net.Conn) (release func()) {
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		// An error means that the connection is closed.
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	return sync.OnceFunc(func() {
		if !stop() {
			<-interrupted
		}
	})
}
