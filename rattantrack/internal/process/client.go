package process

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/gossip"
	"rattantrack.dev/core/httphead"
	"rattantrack.dev/core/settings"
)

// Limits on reading one dump.
const (
	dumpTimeout  = 3 * time.Second
	maxDumpBytes = 16 << 20
)

// httpClient bounds the heads of responses.
var httpClient = httphead.NewClient()

// Section is the state of one component of a process.
type Section struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// SideStatus is the part of a side's state that the status command shows.
type SideStatus struct {
	Upstream settings.UpstreamID  `json:"upstream"`
	Service  settings.ServiceName `json:"service"`
	Leaving  bool                 `json:"leaving"`
	Load     settings.Tokens      `json:"load_tokens"`
	Mean     settings.Tokens      `json:"mean_tokens"`
	Running  int                  `json:"running"`
	Queued   int                  `json:"queued"`
}

// Dump reads the state of the process at an operators' address.
func Dump(ctx context.Context, address string) ([]Section, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "building the dump request to %s", address)
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "requesting the dump of %s", address)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Newf("the dump request to %s returned status %d", address, res.StatusCode)
	}
	var sections []Section
	err = json.NewDecoder(io.LimitReader(res.Body, maxDumpBytes)).Decode(&sections)
	return sections, errors.Wrapf(err, "decoding the dump of %s", address)
}

// Find decodes the named section into v; it returns false if the section is missing or can't be decoded.
func Find(sections []Section, name string, v any) bool {
	for _, s := range sections {
		if s.Name == name {
			return json.Unmarshal(s.State, v) == nil
		}
	}
	return false
}

// Revision returns the revision of the declarations in force, 0 if the state has none.
func Revision(sections []Section) settings.Revision {
	var s gossip.Status
	if !Find(sections, "spread", &s) {
		return 0
	}
	return s.Version.Revision
}
