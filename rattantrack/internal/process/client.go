package process

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/gossip"
	"rattantrack.dev/core/settings"
)

// Bounds of one question.
const (
	askLimit = 3 * time.Second
	maxBytes = 16 << 20
)

// Section is the state of one part of a process.
type Section struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// Door is the part of a side's state that status shows.
type Door struct {
	Upstream settings.UpstreamID  `json:"upstream"`
	Service  settings.ServiceName `json:"service"`
	Leaving  bool                 `json:"leaving"`
	Load     settings.Tokens      `json:"load_tokens"`
	Mean     settings.Tokens      `json:"mean_tokens"`
	Running  int                  `json:"running"`
	Queued   int                  `json:"queued"`
}

// Dump asks a process for its state.
func Dump(ctx context.Context, address string) ([]Section, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "asking %s", address)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "asking %s", address)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered %d", address, res.StatusCode)
	}
	var sections []Section
	err = json.NewDecoder(io.LimitReader(res.Body, maxBytes)).Decode(&sections)
	return sections, errors.Wrapf(err, "reading the answer of %s", address)
}

// Find decodes the named part of a state into v, and reports whether it was there.
func Find(sections []Section, name string, v any) bool {
	for _, s := range sections {
		if s.Name == name {
			return json.Unmarshal(s.State, v) == nil
		}
	}
	return false
}

// Revision returns the revision in force in a state.
func Revision(sections []Section) settings.Revision {
	var s gossip.Status
	if !Find(sections, "spread", &s) {
		return 0
	}
	return s.Version.Revision
}
