package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/settings"
)

const maxPrefixBytes = 256 << 20

// PrefixTooLongError reports a prefix of more than Limit bytes.
type PrefixTooLongError struct {
	Limit int64
}

func (e *PrefixTooLongError) Error() string {
	return fmt.Sprintf("prefix of more than %d bytes", e.Limit)
}

// importResponse is the engine's response to an import.
type importResponse struct {
	Tokens settings.Tokens `json:"tokens"`
}

// Export returns the prefix of a chat from the engine's cache, in the engine's own format.
func (c *Client) Export(ctx context.Context, chat uint64) ([]byte, error) {
	return c.transfer(ctx, http.MethodGet, fmt.Sprintf("%s/kv/export?chat=%d", c.url, chat), nil)
}

// Import adds a prefix to the engine's cache and returns its length in tokens.
func (c *Client) Import(ctx context.Context, chat uint64, prefix []byte) (settings.Tokens, error) {
	text, err := c.transfer(ctx, http.MethodPost, fmt.Sprintf("%s/kv/import?chat=%d", c.url, chat), prefix)
	if err != nil {
		return 0, err
	}
	var response importResponse
	err = json.Unmarshal(text, &response)
	return response.Tokens, errors.Wrap(err, "decoding the engine's response")
}

func (c *Client) transfer(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "building a transfer")
	}
	res, _, err := c.do(req)
	if err != nil {
		return nil, errors.Wrap(err, "asking the engine")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Newf("engine answered %d", res.StatusCode)
	}
	return readPrefix(res.Body, maxPrefixBytes)
}

// readPrefix reads a prefix of at most limit bytes.
func readPrefix(body io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading a prefix")
	}
	if int64(len(text)) > limit {
		return nil, &PrefixTooLongError{Limit: limit}
	}
	return text, nil
}
