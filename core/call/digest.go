package call

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/settings"
)

// RequestDigest is the same for requests with the same path, query, team and body. A client that sends a request again gives it a new
// ID, but the digest stays.
type RequestDigest uint64

// String returns the digest in hexadecimal.
func (d RequestDigest) String() string { return strconv.FormatUint(uint64(d), 16) }

// NewRequestDigest returns the digest of a request. uri holds the path and the query.
func NewRequestDigest(host, uri string, team settings.TeamID, body []byte) RequestDigest {
	h := xxhash.New()
	for _, part := range []string{host, uri, string(team)} {
		// The lengths keep the parts apart.
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	_, _ = h.Write(body)
	return RequestDigest(h.Sum64())
}
