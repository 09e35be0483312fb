package operator

import (
	"rattantrack.dev/core/peer"
)

// Links exposes the open links of a process as a Dumper.
type Links struct {
	Endpoint *peer.Endpoint
}

// LinkStatus is the state of one link in a dump.
type LinkStatus struct {
	Address  string    `json:"address"`
	Peer     string    `json:"peer"`
	Role     peer.Role `json:"role"`
	Streams  int64     `json:"open_streams"`
	BytesOut int64     `json:"bytes_out"`
	BytesIn  int64     `json:"bytes_in"`
	IdleMS   int64     `json:"idle_ms"`
}

// String returns the name of the links' section in a dump.
func (l *Links) String() string { return "links" }

// Dump returns the status of all open links.
func (l *Links) Dump() any {
	links := l.Endpoint.Links()
	list := make([]LinkStatus, 0, len(links))
	for _, link := range links {
		out, in := link.Bytes()
		list = append(list, LinkStatus{
			Address:  l.Endpoint.Address(link),
			Peer:     link.Remote().ID,
			Role:     link.Remote().Role,
			Streams:  link.OpenStreams(),
			BytesOut: out,
			BytesIn:  in,
			IdleMS:   link.IdleFor().Milliseconds(),
		})
	}
	return list
}
