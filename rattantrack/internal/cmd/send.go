package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/httphead"
)

type sendCmd struct {
	URL     string `arg:"" help:"Base URL of a router for callers."`
	Profile string `arg:"" help:"Name of a model's profile."`
	Text    string `arg:"" help:"Text of the message."`
	Team    string `required:"" help:"Team to call as."`
	Stream  bool   `help:"Read the answer as events."`
}

// chatBody is the request body of a chat.
type chatBody struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Run sends the chat and writes the answer as it arrives.
func (c *sendCmd) Run(ctx context.Context, o *output) error {
	body, err := json.Marshal(chatBody{
		Model:    c.Profile,
		Stream:   c.Stream,
		Messages: []chatMessage{{Role: "user", Content: c.Text}},
	})
	if err != nil {
		return errors.Wrap(err, "encoding the chat")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building the request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Rattantrack-Team", c.Team)
	res, err := httphead.NewClient().Do(req)
	if err != nil {
		return errors.Wrap(err, "sending the chat")
	}
	defer res.Body.Close()
	if _, err := io.Copy(o.out, res.Body); err != nil {
		return errors.Wrap(err, "reading the answer")
	}
	if res.StatusCode != http.StatusOK {
		return errors.Newf("the router returned status %d", res.StatusCode)
	}
	return nil
}
