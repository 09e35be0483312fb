package peer

import (
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

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

// Kind returns KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Ping asks for a Pong, to show that the link still carries bytes.
type Ping struct {
}

// Kind returns KindPing.
func (*Ping) Kind() Kind { return KindPing }

// Pong answers a Ping.
type Pong struct {
}

// Kind returns KindPong.
func (*Pong) Kind() Kind { return KindPong }

// Reset ends one stream without a result.
type Reset struct {
	Reason string
}

// Kind returns KindReset.
func (*Reset) Kind() Kind { return KindReset }

// Window lets the sender of chunks send N more.
type Window struct {
	N int
}

// Kind returns KindWindow.
func (*Window) Kind() Kind { return KindWindow }
