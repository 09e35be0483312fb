package peer

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
		return &AttemptQuery{}
	case KindState:
		return &AttemptState{}
	case KindIssue:
		return &IssueTicket{}
	case KindIssued:
		return &TicketIssued{}
	case KindPlaced:
		return &ChatPlaced{}
	case KindExchange:
		return &LoadExchange{}
	case KindAnnounce:
		return &Announce{}
	case KindPull:
		return &Pull{}
	case KindDelta:
		return &DeltaReply{}
	case KindHandover:
		return &Handover{}
	case KindKept:
		return &HandoverAck{}
	case KindClaim:
		return &Claim{}
	case KindLeaving:
		return &Leaving{}
	case KindFetch:
		return &FetchPrefix{}
	case KindRouterState:
		return &RouterState{}
	}
	return nil
}
