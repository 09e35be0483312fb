package peer

// Kind is the type of a message on the wire.
type Kind uint8

// The kinds of message. Their order is part of the wire format.
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
	KindAttemptQuery
	KindAttemptState
	KindIssueTicket
	KindTicketIssued
	KindChatServed
	KindLoadExchange
	KindAnnounce
	KindPull
	KindDeltaReply
	KindHandover
	KindHandoverAck
	KindClaim
	KindLeaving
	KindFetchPrefix
	KindRouterState
	KindLoadReport
	KindLoadTotals
	KindCrashEvidence
	KindUsageReport
	KindUsageTotals
	KindStreamOrigins
	KindOriginQuery
	KindOriginReply
	KindWorkReport
	KindWorkTotals
	KindStateExchange
	KindGoodbye
)

// Message is one typed message of the protocol.
type Message interface {
	Kind() Kind
}

// StreamID numbers the streams of one link. The dialler uses odd numbers and the acceptor even ones.
type StreamID uint64

// newMessage returns a new message of a kind, or nil for an unknown kind.
func newMessage(k Kind) Message {
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
	case KindAttemptQuery:
		return &AttemptQuery{}
	case KindAttemptState:
		return &AttemptState{}
	case KindIssueTicket:
		return &IssueTicket{}
	case KindTicketIssued:
		return &TicketIssued{}
	case KindChatServed:
		return &ChatServed{}
	case KindLoadExchange:
		return &LoadExchange{}
	case KindAnnounce:
		return &Announce{}
	case KindPull:
		return &Pull{}
	case KindDeltaReply:
		return &DeltaReply{}
	case KindHandover:
		return &Handover{}
	case KindHandoverAck:
		return &HandoverAck{}
	case KindClaim:
		return &Claim{}
	case KindLeaving:
		return &Leaving{}
	case KindFetchPrefix:
		return &FetchPrefix{}
	case KindRouterState:
		return &RouterState{}
	case KindLoadReport:
		return &LoadReport{}
	case KindLoadTotals:
		return &LoadTotals{}
	case KindCrashEvidence:
		return &CrashEvidence{}
	case KindUsageReport:
		return &UsageReport{}
	case KindUsageTotals:
		return &UsageTotals{}
	case KindStreamOrigins:
		return &StreamOrigins{}
	case KindOriginQuery:
		return &OriginQuery{}
	case KindOriginReply:
		return &OriginReply{}
	case KindWorkReport:
		return &WorkReport{}
	case KindWorkTotals:
		return &WorkTotals{}
	case KindStateExchange:
		return &StateExchange{}
	case KindGoodbye:
		return &Goodbye{}
	}
	return nil
}
