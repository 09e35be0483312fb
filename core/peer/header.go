package peer

import "net/http"

// connectionHeaders apply to one connection only and are not forwarded (RFC 9110, section 7.6.1). Lengths and dates are set
// anew on each connection.
var connectionHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
	"Te":                true,
	"Trailer":           true,
	"Upgrade":           true,
	"Content-Length":    true,
	"Date":              true,
	"Accept-Encoding":   true,
}

// EndToEndHeaders returns the header fields to forward, without those for which drop returns true.
func EndToEndHeaders(h http.Header, drop func(name string) bool) []Header {
	var list []Header
	for name, values := range h {
		if connectionHeaders[name] || drop(name) {
			continue
		}
		for _, v := range values {
			list = append(list, Header{Name: name, Value: v})
		}
	}
	return list
}
