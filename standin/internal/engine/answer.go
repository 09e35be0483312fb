package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// usage is the token usage that is reported at the end of an answer.
type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (g *generation) usage() usage {
	return usage{
		PromptTokens:     g.promptTokens,
		CompletionTokens: g.answerTokens - g.request.Resume.Tokens,
		Details:          usageDetails{CachedTokens: g.cachedTokens},
	}
}

// writeAnswer writes the answer and reports whether it was written completely.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, g *generation, f Faults) bool {
	if g.request.Stream {
		return e.streamAnswer(w, r, g, f)
	}
	for i := g.request.Resume.Tokens; i < g.answerTokens; i++ {
		if !e.wait(r, 1/e.cfg.DecodeRate) {
			return false
		}
		g.text.WriteString(answerToken(g.seed, i))
		e.generatedTokens.Add(1)
	}
	w.Header().Set("Content-Type", "application/json")
	body := completion{Object: "chat.completion", Choices: []choice{{Message: &message{Role: "assistant", Content: g.text.String()}, FinishReason: "stop"}}}
	u := g.usage()
	body.Usage = &u
	return json.NewEncoder(w).Encode(body) == nil
}

// completion is a whole answer or one event of a stream.
type completion struct {
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, g *generation, f Faults) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	flush, ok := w.(http.Flusher)
	if !ok {
		return false
	}
	w.WriteHeader(http.StatusOK)
	flush.Flush()
	next := time.Now()
	for i := g.request.Resume.Tokens; i < g.answerTokens; i++ {
		if f.Stall && i > 0 {
			<-r.Context().Done()
			return false
		}
		if f.CutAfter > 0 && i-g.request.Resume.Tokens >= f.CutAfter {
			// This panic makes the server close the connection without the final chunk.
			panic(http.ErrAbortHandler)
		}
		next = next.Add(time.Duration(float64(time.Second) / e.cfg.DecodeRate))
		if !e.wait(r, time.Until(next).Seconds()) || r.Context().Err() != nil {
			return false
		}
		text := answerToken(g.seed, i)
		g.text.WriteString(text)
		e.generatedTokens.Add(1)
		if !writeEvent(w, completion{Object: "chat.completion.chunk", Choices: []choice{{Delta: &delta{Content: text}}}}) {
			return false
		}
		flush.Flush()
	}
	u := g.usage()
	if !writeEvent(w, completion{Object: "chat.completion.chunk", Choices: []choice{{Delta: &delta{}, FinishReason: "stop"}}, Usage: &u}) {
		return false
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err == nil
}

func writeEvent(w http.ResponseWriter, c completion) bool {
	text, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", text)
	return err == nil
}
