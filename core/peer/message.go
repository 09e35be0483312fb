package peer

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// Kind tells the messages apart on the wire.
type Kind uint8

// The kinds of message.
const (
	KindHello Kind = iota + 1
	KindPing
	KindPong
	KindReset
	KindWindow
	KindSubmit
	KindAccept
	KindRefuse
	KindHead
	KindChunk
	KindEnd
	KindCancel
	KindQuery
	KindState
	KindIssue
	KindIssued
	KindPlaced
	KindExchange
	KindAnnounce
	KindPull
	KindDelta
	KindHandover
	KindKept
	KindClaim
	KindLeaving
	KindFetch
	KindRouterState
)

// Message is one typed message of the protocol.
type Message interface {
	Kind() Kind
}

// StreamID numbers the streams of one link; the dialler uses odd numbers, the acceptor even ones.
type StreamID uint64

// RequestID identifies one caller's request through all its attempts.
type RequestID string

// AttemptID numbers the attempts of one request.
type AttemptID uint32

// Incarnation identifies one life of a process.
type Incarnation string

// Role tells what kind of process is at the other end.
type Role string

// The roles of processes.
const (
	RoleRouter Role = "router"
	RoleSide   Role = "side"
)

// ProtocolVersion is the version that Hello announces.
const ProtocolVersion = 1

// Hello is the first message each way.
type Hello struct {
	Protocol    int
	Role        Role
	ID          string
	DataCentre  settings.DataCentre
	Incarnation Incarnation
	Revision    settings.Revision
	// Sent is the sender's clock, against which later stamps on the link are compared.
	Sent clock.Instant
}

// Ping asks for a Pong, to show that the link still carries bytes.
type Ping struct {
}

// Pong answers a Ping.
type Pong struct {
}

// Reset ends one stream without a result.
type Reset struct {
	Reason string
}

// Window lets the sender of chunks send N more.
type Window struct {
	N int
}

// Header is one header field of a request or an answer.
type Header struct {
	Name  string
	Value string
}

// Submit hands one attempt of a request to a side.
type Submit struct {
	Request RequestID
	Attempt AttemptID
	Profile settings.ProfileName
	Team    settings.TeamID
	// Chat is the digest that identifies a returning chat, zero for none.
	Chat uint64
	// Key is the caller's idempotency key, Ticket a ticket issued by the side.
	Key    string
	Ticket string
	// Left is the time until the request's deadline, counted from Sent on the sender's clock.
	Left     time.Duration
	Sent     clock.Instant
	Revision settings.Revision
	Method   string
	Path     string
	Headers  []Header
	Body     []byte
	// PromptTokens is the router's estimate of the prompt's length.
	PromptTokens settings.Tokens
	// Resume is the text that the caller already has, Offset the number of chunks that carried it.
	Resume string
	Offset uint32
	// Redirected says that another side sent the request here.
	Redirected bool
	// Last says that every other side asked had more load.
	Last bool
	// Moves counts the sides that carried too much and moved the request away.
	Moves int
	// Holder is a side that may export the chat's prefix.
	Holder settings.UpstreamID
}

// Accept says that the side has taken the attempt.
type Accept struct {
	// Replayed says that the answer is the recorded one of an earlier run.
	Replayed bool
}

// RefuseCode says why a side refused an attempt.
type RefuseCode string

// The reasons for a refusal.
const (
	RefuseLeaving     RefuseCode = "leaving"
	RefuseOverloaded  RefuseCode = "overloaded"
	RefuseElsewhere   RefuseCode = "held_elsewhere"
	RefuseDeadline    RefuseCode = "deadline_too_short"
	RefuseTableFull   RefuseCode = "table_full"
	RefuseNotHome     RefuseCode = "not_home"
	RefuseHomeUnsure  RefuseCode = "home_cannot_rule_out_an_earlier_run"
	RefuseKeyReused   RefuseCode = "key_reused"
	RefuseIncarnation RefuseCode = "upstream_was_replaced"
	RefuseTicket      RefuseCode = "ticket_invalid"
	RefuseNever       RefuseCode = "attempt_was_cancelled"
	RefuseUnknownRun  RefuseCode = "earlier_run_without_result"
	RefuseProfile     RefuseCode = "unknown_profile"
	RefuseUpstream    RefuseCode = "upstream_unreachable"
)

// Refuse says that the attempt was not run and never will be.
type Refuse struct {
	Code RefuseCode
	// KeyNotRun is true when the side also vouches that no run of the key or ticket was ever started.
	KeyNotRun bool
	// Next names sides to ask instead, best first.
	Next []settings.UpstreamID
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
	// Holder is a side that may export the chat's prefix.
	Holder settings.UpstreamID
	// Load is the load of the refusing side.
	Load float32
}

// Chunk is one piece of an answer.
type Chunk struct {
	Attempt AttemptID
	Seq     uint32
	Data    []byte
}

// Head is the status and header of the upstream's answer, sent before its chunks.
type Head struct {
	Status  int
	Headers []Header
}

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// End closes an answer and tells how many chunks it had.
type End struct {
	Attempt AttemptID
	Outcome Outcome
	// Chunks is the number of the last chunk.
	Chunks uint32
	// Moved names the side that should go on with the answer after Chunks.
	Moved  settings.UpstreamID
	Reason string
}

// Cancel stops an attempt on the stream that submitted it; whoever gave it wants no answer.
type Cancel struct {
}

// State answers Query.
type State struct {
	// Started says that the attempt was handed to the upstream.
	Started bool
	// Certain is false when the side cannot tell or cannot forbid the start.
	Certain bool
}

// Query asks whether an attempt was started, and forbids its start if it was not.
type Query struct {
	Request RequestID
	Attempt AttemptID
	// Left is the time until the request's deadline.
	Left time.Duration
}

// Issue asks a side for a ticket.
type Issue struct {
	Profile settings.ProfileName
}

// Issued carries a ticket.
type Issued struct {
	Ticket   string
	Lifetime time.Duration
}

// Placed tells a chat's home which side served the chat.
type Placed struct {
	Chat uint64
	Side settings.UpstreamID
}

// Exchange carries one side's load and its estimate of the mean to another side of the same service.
type Exchange struct {
	Side    settings.UpstreamID
	Service settings.ServiceName
	Load    float32
	Mean    float32
	// Known says that Mean can be used.
	Known bool
}

// Announce tells a neighbour which version is in force here.
type Announce struct {
	Version revision.Version
}

// Pull asks for what changed after a revision.
type Pull struct {
	Since settings.Revision
}

// DeltaReply answers Pull.
type DeltaReply struct {
	Delta revision.Delta
}

// KeyRecord is what a side remembers of one idempotency key.
type KeyRecord struct {
	Key     string
	Body    uint64
	State   uint8
	Status  int
	Headers []Header
	Answer  []byte
	Left    time.Duration
}

// Claim asks another side for the records of the keys that are now the asking side's own.
type Claim struct {
	From    settings.UpstreamID
	Service settings.ServiceName
	// Ended is the revision that may have taken keys from the asked side.
	Ended settings.Revision
	// Fresh says that the asking process has just begun and wants what its predecessor left.
	Fresh bool
}

// Handover answers a Claim, or leaves a stopping side's records with another side.
type Handover struct {
	From    settings.UpstreamID
	Service settings.ServiceName
	// Ended is the revision that was asked about, and Revision the one in force at the sender, which runs no key
	// that either of them gives to others.
	Ended    settings.Revision
	Revision settings.Revision
	// Covered says that the sender could itself vouch for the keys it had before.
	Covered bool
	// Estate says that the records are those of the asking side's predecessor, whole.
	Estate bool
	// Age is how long the estate has been kept.
	Age     time.Duration
	Records []KeyRecord
}

// Kept confirms that an estate is kept.
type Kept struct {
}

// LeavingLease is how long a router's word that a side is listed as leaving holds without renewal.
const LeavingLease = 10 * time.Second

// Fetch asks a side for the prefix of a chat in its engine's cache; chunks and an End answer it.
type Fetch struct {
	Chat uint64
}

// Leaving says that the sending side takes no more work; from a router, that the receiving side is listed as leaving.
type Leaving struct {
}

// Kind returns KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Kind returns KindPing.
func (*Ping) Kind() Kind { return KindPing }

// Kind returns KindPong.
func (*Pong) Kind() Kind { return KindPong }

// Kind returns KindReset.
func (*Reset) Kind() Kind { return KindReset }

// Kind returns KindWindow.
func (*Window) Kind() Kind { return KindWindow }

// Kind returns KindSubmit.
func (*Submit) Kind() Kind { return KindSubmit }

// Kind returns KindAccept.
func (*Accept) Kind() Kind { return KindAccept }

// Kind returns KindRefuse.
func (*Refuse) Kind() Kind { return KindRefuse }

// Kind returns KindHead.
func (*Head) Kind() Kind { return KindHead }

// Kind returns KindChunk.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind returns KindEnd.
func (*End) Kind() Kind { return KindEnd }

// Kind returns KindCancel.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind returns KindQuery.
func (*Query) Kind() Kind { return KindQuery }

// Kind returns KindState.
func (*State) Kind() Kind { return KindState }

// Kind returns KindIssue.
func (*Issue) Kind() Kind { return KindIssue }

// Kind returns KindIssued.
func (*Issued) Kind() Kind { return KindIssued }

// Kind returns KindPlaced.
func (*Placed) Kind() Kind { return KindPlaced }

// Kind returns KindExchange.
func (*Exchange) Kind() Kind { return KindExchange }

// Kind returns KindAnnounce.
func (*Announce) Kind() Kind { return KindAnnounce }

// Kind returns KindPull.
func (*Pull) Kind() Kind { return KindPull }

// Kind returns KindDelta.
func (*DeltaReply) Kind() Kind { return KindDelta }

// Kind returns KindHandover.
func (*Handover) Kind() Kind { return KindHandover }

// Kind returns KindKept.
func (*Kept) Kind() Kind { return KindKept }

// Kind returns KindClaim.
func (*Claim) Kind() Kind { return KindClaim }

// Kind returns KindFetch.
func (*Fetch) Kind() Kind { return KindFetch }

// Kind returns KindLeaving.
func (*Leaving) Kind() Kind { return KindLeaving }

// Kind returns KindRouterState.
func (*RouterState) Kind() Kind { return KindRouterState }

// empty returns a new message of a kind, or nil for an unknown kind.
func empty(k Kind) Message {
	switch k {
	case KindHello:
		return &Hello{}
	case KindPing:
		return &Ping{}
	case KindPong:
		return &Pong{}
	case KindReset:
		return &Reset{}
	case KindWindow:
		return &Window{}
	case KindSubmit:
		return &Submit{}
	case KindAccept:
		return &Accept{}
	case KindRefuse:
		return &Refuse{}
	case KindHead:
		return &Head{}
	case KindChunk:
		return &Chunk{}
	case KindEnd:
		return &End{}
	case KindCancel:
		return &Cancel{}
	case KindQuery:
		return &Query{}
	case KindState:
		return &State{}
	case KindIssue:
		return &Issue{}
	case KindIssued:
		return &Issued{}
	case KindPlaced:
		return &Placed{}
	case KindExchange:
		return &Exchange{}
	case KindAnnounce:
		return &Announce{}
	case KindPull:
		return &Pull{}
	case KindDelta:
		return &DeltaReply{}
	case KindHandover:
		return &Handover{}
	case KindKept:
		return &Kept{}
	case KindClaim:
		return &Claim{}
	case KindLeaving:
		return &Leaving{}
	case KindFetch:
		return &Fetch{}
	case KindRouterState:
		return &RouterState{}
	}
	return nil
}

// FrameError reports bytes that are no frame of the protocol.
type FrameError struct {
	Reason string
}

func (e *FrameError) Error() string { return "malformed frame: " + e.Reason }

// Sizes of the frame format: length, kind and stream before the msgpack body.
const (
	lengthBytes   = 4
	headBytes     = lengthBytes + 1 + 8
	MaxFrameBytes = 8 << 20
)

var encoders = sync.Pool{New: func() any { return msgpack.NewEncoder(nil) }}

// appendFrame encodes a message as one frame.
func appendFrame(buf *bytes.Buffer, id StreamID, m Message) error {
	start := buf.Len()
	var head [headBytes]byte
	buf.Write(head[:])
	enc, _ := encoders.Get().(*msgpack.Encoder)
	enc.Reset(buf)
	enc.UseArrayEncodedStructs(true)
	err := enc.Encode(m)
	encoders.Put(enc)
	if err != nil {
		buf.Truncate(start)
		return errors.Wrapf(err, "encoding message of kind %d", m.Kind())
	}
	size := buf.Len() - start
	if size > MaxFrameBytes {
		buf.Truncate(start)
		return &FrameError{Reason: fmt.Sprintf("%d bytes exceed the largest frame", size)}
	}
	kind := m.Kind()
	small, err := compress(buf, buf.Bytes()[start+headBytes:])
	if err != nil {
		buf.Truncate(start)
		return err
	}
	if small {
		kind |= compressed
	}
	putHead(buf.Bytes()[start:], kind, id)
	return nil
}

// Size returns the bytes that a message takes as a frame.
func Size(m Message) (int, error) {
	var buf bytes.Buffer
	err := appendFrame(&buf, 0, m)
	return buf.Len(), err
}

// decodeBody decodes the body of a frame of the given kind.
func decodeBody(k Kind, body []byte) (Message, error) {
	if k&compressed != 0 {
		plain, err := decompress(body)
		if err != nil {
			return nil, err
		}
		k, body = k&^compressed, plain
	}
	m := empty(k)
	if m == nil {
		return nil, &FrameError{Reason: fmt.Sprintf("unknown kind %d", k)}
	}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, &FrameError{Reason: err.Error()}
	}
	return m, nil
}
