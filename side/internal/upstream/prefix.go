package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/jsonstream"
	"rattantrack.dev/core/settings"
)

// importLimits bounds the engine's response to an import.
var importLimits = jsonstream.Limits{Bytes: 64 << 10, ValueBytes: 4 << 10, Elements: 1000}

// Export returns the prefix of a chat from the engine's cache, in the engine's own format. It must be closed.
func (c *Client) Export(ctx context.Context, chat uint64) (io.ReadCloser, error) {
	return c.transfer(ctx, http.MethodGet, fmt.Sprintf("%s/kv/export?chat=%d", c.url, chat), http.NoBody)
}

// Import adds a prefix to the engine's cache while it is read, and returns its length in tokens. The engine gets no end of a prefix that
// cannot be read to its own.
func (c *Client) Import(ctx context.Context, chat uint64, prefix io.Reader) (settings.Tokens, error) {
	body, err := c.transfer(ctx, http.MethodPost, fmt.Sprintf("%s/kv/import?chat=%d", c.url, chat), prefix)
	if err != nil {
		return 0, err
	}
	defer func() { _ = body.Close() }()
	var tokens settings.Tokens
	err = jsonstream.Read(body, importLimits, func(d *jsonstream.Decoder, name string) error {
		if name == "tokens" {
			return d.Value(&tokens)
		}
		return d.Skip()
	})
	if err != nil {
		return 0, errors.Wrap(err, "decoding the engine's response")
	}
	return tokens, nil
}

// transfer returns the body of the engine's response.
func (c *Client) transfer(ctx context.Context, method, url string, body io.Reader) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "building a transfer")
	}
	res, _, err := c.do(req)
	if err != nil {
		return nil, errors.Wrap(err, "asking the engine")
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, errors.Newf("engine answered %d", res.StatusCode)
	}
	return res.Body, nil
}
