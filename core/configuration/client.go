package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 64 << 20

// StatusError reports an answer other than 200.
type StatusError struct {
	URL    string
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s answered %d", e.URL, e.Status) }

// Changes is the configuration service's answer to a read or watch.
type Changes struct {
	Revision settings.Revision `json:"revision"`
	// Complete says that Documents holds every document and not only the changed ones.
	Complete  bool                `json:"whole"`
	Documents []settings.Document `json:"documents"`
}

// VMState is what the platform says of a VM.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// RoleRouter is the role of the VMs that run routers.
const RoleRouter = "entry"

// VM is one entry of the VM list.
type VM struct {
	// Address is the peer address of the process on the VM.
	Address string  `json:"address"`
	Role    string  `json:"role"`
	State   VMState `json:"state"`
}

// VMs is the VM list's answer.
type VMs struct {
	VMs []VM `json:"vms"`
}

// Client reads the platform; its zero value needs the base URLs.
type Client struct {
	ConfigurationURL string
	VMListURL        string
	HTTP             *http.Client
}

// Changes returns what changed after a revision, waiting up to wait for a change.
func (c *Client) Changes(ctx context.Context, since settings.Revision, wait time.Duration) (revision.Delta, error) {
	url := fmt.Sprintf("%s/v1/changes?since=%d&wait_ms=%d", c.ConfigurationURL, since, wait.Milliseconds())
	var answer Changes
	if err := c.get(ctx, url, &answer); err != nil {
		return revision.Delta{}, err
	}
	d := revision.Delta{From: since, To: revision.Version{Revision: answer.Revision}, Documents: answer.Documents}
	if answer.Complete {
		d.From = 0
	}
	return d, nil
}

// VMs returns the VM list.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var answer VMs
	if err := c.get(ctx, c.VMListURL+"/v1/vms", &answer); err != nil {
		return nil, err
	}
	return answer.VMs, nil
}

func (c *Client) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "building a platform request")
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "asking the platform")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &StatusError{URL: url, Status: res.StatusCode}
	}
	body := io.LimitReader(res.Body, maxAnswerBytes)
	return errors.Wrap(json.NewDecoder(body).Decode(into), "decoding a platform answer")
}
