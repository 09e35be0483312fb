// Package peer implements the protocol among routers and sides: framed msgpack messages on multiplexed TCP links.
package peer
