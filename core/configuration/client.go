package configuration

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/httphead"
	"rattantrack.dev/core/jsonstream"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// Bounds on a response.
const (
	// defaultResponseBytes is used where the client names none.
	defaultResponseBytes = 64 << 20
	maxDocumentBytes     = 16 << 20
	// maxElements bounds the documents and the VMs, which take more memory than their bytes.
	maxElements = 1 << 16
)

// StatusError reports a response with a status other than 200.
type StatusError struct {
	URL    string
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s returned status %d", e.URL, e.Status) }

// Changes is the configuration service's response to a read or watch.
type Changes struct {
	Revision settings.Revision `json:"revision"`
	// Complete is set if Documents holds all documents and not only the changed ones.
	Complete  bool                `json:"whole"`
	Documents []settings.Document `json:"documents"`
}

// VMState is the state of a VM as the platform reports it.
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

// VMs is the response of the VM list.
type VMs struct {
	VMs []VM `json:"vms"`
}

// Client reads the platform's services. The base URLs must be set.
type Client struct {
	ConfigurationURL string
	VMListURL        string
	HTTP             *http.Client
	// MaxBytes bounds a response, 0 for a default.
	MaxBytes int64
}

var defaultClient = httphead.NewClient()

// Changes returns the changes after a revision and waits up to wait for one.
func (c *Client) Changes(ctx context.Context, since settings.Revision, wait time.Duration) (revision.Delta, error) {
	url := fmt.Sprintf("%s/v1/changes?since=%d&wait_ms=%d", c.ConfigurationURL, since, wait.Milliseconds())
	var response Changes
	err := c.get(ctx, url, func(d *jsonstream.Decoder, name string) error {
		switch name {
		case "revision":
			return d.Value(&response.Revision)
		case "whole":
			return d.Value(&response.Complete)
		case "documents":
			return readArray(d, &response.Documents)
		}
		return d.Skip()
	})
	if err != nil {
		return revision.Delta{}, err
	}
	delta := revision.Delta{From: since, To: revision.Version{Revision: response.Revision}, Documents: response.Documents}
	if response.Complete {
		delta.From = 0
	}
	return delta, nil
}

// VMs returns the VM list.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var response VMs
	err := c.get(ctx, c.VMListURL+"/v1/vms", func(d *jsonstream.Decoder, name string) error {
		if name == "vms" {
			return readArray(d, &response.VMs)
		}
		return d.Skip()
	})
	if err != nil {
		return nil, err
	}
	return response.VMs, nil
}

// readArray reads an array element by element.
func readArray[T any](d *jsonstream.Decoder, into *[]T) error {
	return d.Array(func() error {
		var element T
		err := d.Value(&element)
		*into = append(*into, element)
		return err
	})
}

func (c *Client) get(ctx context.Context, url string, field func(d *jsonstream.Decoder, name string) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "building a platform request")
	}
	client := c.HTTP
	if client == nil {
		client = defaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending a platform request")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &StatusError{URL: url, Status: res.StatusCode}
	}
	limits := jsonstream.Limits{Bytes: c.MaxBytes, Elements: maxElements}
	if limits.Bytes == 0 {
		limits.Bytes = defaultResponseBytes
	}
	limits.ValueBytes = min(maxDocumentBytes, limits.Bytes)
	return errors.Wrap(jsonstream.Read(res.Body, limits, field), "decoding a platform response")
}
