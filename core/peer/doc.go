// Package peer is the protocol between the system's own processes: framed msgpack messages on multiplexed TCP links.
package peer
