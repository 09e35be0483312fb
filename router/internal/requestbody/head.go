package requestbody

import "net/http"

// fieldBytes is the memory of one header field beside its name and value, and headCopies how often a head is held: as received, as
// forwarded, and for an attempt.
const (
	fieldBytes = 100
	headCopies = 3
)

// HeadBytes returns the memory that the head of a request takes.
func HeadBytes(req *http.Request) int64 {
	n := len(req.RequestURI)
	for name, values := range req.Header {
		n += fieldBytes
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(headCopies * n)
}
