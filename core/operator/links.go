package operator

import (
	"rattantrack.dev/core/peer"
)

// Links shows the open links of a process.
type Links struct {
	Endpoint *peer.Endpoint
}

// LinkStatus is what is shown of one link.
type LinkStatus struct {
	Address  string    `json:"address"`
	Peer     string    `json:"peer"`
	Role     peer.Role `json:"role"`
	Streams  int64     `json:"open_streams"`
	BytesOut int64     `json:"bytes_out"`
	BytesIn  int64     `json:"bytes_in"`
	IdleMS   int64     `json:"idle_ms"`
}

// String returns the name under which the links are dumped.
func (l *Links) String() string { return "links" }

// Dump returns the links that are open now.
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
