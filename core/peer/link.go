package peer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
)

// Timing of a link. The heartbeat runs only while a stream is open.
const (
	heartbeatInterval = 500 * time.Millisecond
	receiveTimeout    = 2 * time.Second
	writeTimeout      = 2 * time.Second
	helloTimeout      = 2 * time.Second
)

// Sizes of a link's buffers.
const (
	readBufferBytes  = 4 << 10
	writeBatchBytes  = 64 << 10
	writeQueueLength = 64
	// maxInboundStreams limits the streams that the other end may have open.
	maxInboundStreams = 4096
	// noMemoryRetryAfter is when a caller may retry a call that a process had no memory for.
	noMemoryRetryAfter = time.Second
)

// LinkClosedError reports that a link has ended.
type LinkClosedError struct {
	Cause error
}

func (e *LinkClosedError) Error() string {
	if e.Cause == nil {
		return "link closed"
	}
	return "link closed: " + e.Cause.Error()
}

// Unwrap returns the cause of the link's end.
func (e *LinkClosedError) Unwrap() error { return e.Cause }

// UnresponsiveError reports a link that has received nothing for too long.
type UnresponsiveError struct {
	For time.Duration
}

func (e *UnresponsiveError) Error() string { return "nothing received for " + e.For.String() }

// Handler serves the streams that the other end opens.
type Handler interface {
	Serve(ctx context.Context, s *Stream, m Message)
}

// outgoing is a message that is queued for the writer.
type outgoing struct {
	id StreamID
	m  Message
	// written, if not nil, is closed when the message has been written.
	written chan struct{}
}

// Link is one multiplexed connection to another process.
type Link struct {
	conn   net.Conn
	local  Hello
	remote Hello
	queue  chan outgoing
	closed chan struct{}
	// opening holds a token while a stream is opened.
	opening chan struct{}
	// lastReceived is the time of the last received frame, in nanoseconds of the process's monotonic clock.
	lastReceived   atomic.Int64
	openStreams    atomic.Int64
	inboundStreams atomic.Int64
	bytesOut       atomic.Int64
	bytesIn        atomic.Int64

	mu               sync.Mutex
	cause            error
	streams          map[StreamID]*Stream
	nextID           StreamID
	memory           *memorybudget.Budget
	heartbeatRunning bool
	retired          bool
	// finishing reports that the link takes no more streams of the other end. lastInbound is the highest one that it has taken.
	finishing   bool
	lastInbound StreamID
	// goodbye is the announcement of the other end that it ends the link.
	goodbye *Goodbye
	// unwritable reports that a write has failed. No stream with a higher number than lastEncoded, by parity, has been sent or will be. The
	// writer alone uses lastEncoded before.
	unwritable  bool
	lastEncoded [2]StreamID
	// handlers passes the handler to the reader once.
	handlers chan Handler
	// minOffset is the smallest difference between the local clock and a message's timestamp so far.
	minOffset time.Duration
	hasOffset bool
	// hooks run once, when the link has ended.
	hooks []func()
}

var processStart = time.Now()

func monotonic() time.Duration { return time.Since(processStart) }

// newLink exchanges Hello messages on conn and returns the link. The dialler uses odd stream numbers. Large messages that are received take
// memory from the budget, which may be nil. onHello is called when the other end has said who it is, before it can know that.
func newLink(
	ctx context.Context, conn net.Conn, local Hello, dialler bool, memory *memorybudget.Budget, onHello func(),
) (*Link, error) {
	l := &Link{
		conn:    conn,
		local:   local,
		memory:  memory,
		queue:   make(chan outgoing, writeQueueLength),
		closed:  make(chan struct{}),
		opening: make(chan struct{}, 1),
		streams: make(map[StreamID]*Stream),
		nextID:  2,
	}
	if dialler {
		l.nextID = 1
	}
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, errors.Wrap(err, "setting deadline")
	}
	// Once the handshake is complete the other end may have sent a stream, so the connection may not be closed without a word any more.
	release := interruptOnEnd(ctx, conn)
	defer release()
	r := bufio.NewReaderSize(conn, readBufferBytes)
	if err := l.handshake(r, dialler, onHello); err != nil {
		_ = conn.Close()
		return nil, err
	}
	release()
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "clearing deadline")
	}
	l.markReceived()
	l.start(r)
	return l, nil
}

// VersionError reports another end that does not speak the version of the protocol that was offered.
type VersionError struct {
	Offered, Remote int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d offered, %d spoken", e.Offered, e.Remote)
}

// handshake exchanges the Hello messages. The acceptor replies with the version of the dialler if that is older than its own.
func (l *Link) handshake(r *bufio.Reader, dialler bool, onHello func()) error {
	if dialler {
		if err := l.sendHello(); err != nil {
			return err
		}
	}
	hello, err := readHello(r)
	if err != nil {
		return err
	}
	if hello.Protocol < minProtocolVersion || (dialler && hello.Protocol != l.local.Protocol) {
		return &VersionError{Offered: l.local.Protocol, Remote: hello.Protocol}
	}
	l.remote = *hello
	l.Lateness(hello.Sent)
	onHello()
	if dialler {
		return nil
	}
	l.local.Protocol = min(l.local.Protocol, hello.Protocol)
	return l.sendHello()
}

func (l *Link) sendHello() error {
	var buf bytes.Buffer
	if err := appendFrame(&buf, 0, &l.local); err != nil {
		return err
	}
	_, err := l.conn.Write(buf.Bytes())
	return errors.Wrap(err, "sending hello")
}

// Version returns the version of the protocol that both ends speak.
func (l *Link) Version() int { return min(l.local.Protocol, l.remote.Protocol) }

// Lateness returns how much longer a message with this timestamp took than the fastest message of the link so far. It needs
// no synchronized clocks and shows delays of a suspended process or a broken network.
func (l *Link) Lateness(sent clock.Instant) time.Duration {
	offset := clock.Boot{}.Now().Sub(sent)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasOffset || offset < l.minOffset {
		l.minOffset = offset
		l.hasOffset = true
	}
	return offset - l.minOffset
}

// Remote returns the Hello of the other end.
func (l *Link) Remote() Hello { return l.remote }

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.closed }

// OpenStreams returns the number of streams open on the link.
func (l *Link) OpenStreams() int64 { return l.openStreams.Load() }

// Bytes returns the number of bytes sent and received so far.
func (l *Link) Bytes() (out, in int64) { return l.bytesOut.Load(), l.bytesIn.Load() }

// IdleFor returns the time since the last frame was received.
func (l *Link) IdleFor() time.Duration {
	return monotonic() - time.Duration(l.lastReceived.Load())
}

func (l *Link) markReceived() { l.lastReceived.Store(int64(monotonic())) }

// Err returns why the link ended, as a LinkClosedError.
func (l *Link) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &LinkClosedError{Cause: l.cause}
}

// Close ends the link and every stream on it.
func (l *Link) Close(cause error) {
	for _, hook := range l.end(cause) {
		hook()
	}
}

// end closes the connection once and returns the hooks to run.
func (l *Link) end(cause error) []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Ended() {
		return nil
	}
	l.cause = cause
	close(l.closed)
	_ = l.conn.Close()
	return l.hooks
}

// Retired reports whether the link opens no more streams.
func (l *Link) Retired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retired
}

// Ended reports whether the link has ended.
func (l *Link) Ended() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// onEnd runs hook when the link ends, or at once if it has ended.
func (l *Link) onEnd(hook func()) {
	l.mu.Lock()
	ended := l.Ended()
	if !ended {
		l.hooks = append(l.hooks, hook)
	}
	l.mu.Unlock()
	if ended {
		hook()
	}
}

// send queues a message for the writer.
func (l *Link) send(ctx context.Context, id StreamID, m Message) error {
	return l.enqueue(ctx, outgoing{id: id, m: m})
}

func (l *Link) enqueue(ctx context.Context, o outgoing) error {
	if l.Ended() {
		return l.Err()
	}
	select {
	case l.queue <- o:
		return nil
	case <-l.closed:
		return l.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// start starts the writer and the reader. The reader waits for the handler from Serve.
func (l *Link) start(r *bufio.Reader) {
	go l.writeLoop()
	l.startReader(r)
}

// writeLoop sends queued messages in batches until the link ends.
func (l *Link) writeLoop() {
	var buf bytes.Buffer
	for {
		var waiting []chan struct{}
		select {
		case <-l.closed:
			return
		case o := <-l.queue:
			buf.Reset()
			waiting = l.encode(&buf, o, waiting)
		}
		waiting = l.appendQueued(&buf, waiting)
		err := l.flush(&buf)
		for _, written := range waiting {
			close(written)
		}
		if err != nil {
			l.mu.Lock()
			l.unwritable = true
			l.mu.Unlock()
			time.AfterFunc(lastReadTime, func() { l.Close(errors.Wrap(err, "writing")) })
			return
		}
	}
}

// appendQueued appends the messages that are queued already, so that one write carries many small frames.
func (l *Link) appendQueued(buf *bytes.Buffer, waiting []chan struct{}) []chan struct{} {
	for buf.Len() < writeBatchBytes {
		select {
		case o := <-l.queue:
			waiting = l.encode(buf, o, waiting)
		default:
			return waiting
		}
	}
	return waiting
}

// encode appends a message to buf, and the channel to close when it has been written to waiting.
func (l *Link) encode(buf *bytes.Buffer, o outgoing, waiting []chan struct{}) []chan struct{} {
	l.lastEncoded[o.id%2] = max(l.lastEncoded[o.id%2], o.id)
	if err := appendFrame(buf, o.id, o.m); err != nil {
		// The message cannot be encoded. The reset keeps the other end from waiting for it.
		_ = appendFrame(buf, o.id, &Reset{Reason: err.Error()})
	}
	if o.written != nil {
		waiting = append(waiting, o.written)
	}
	return waiting
}

func (l *Link) flush(buf *bytes.Buffer) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := l.conn.Write(buf.Bytes())
	l.bytesOut.Add(int64(n))
	if buf.Cap() > writeBatchBytes {
		*buf = bytes.Buffer{}
	}
	return err
}
