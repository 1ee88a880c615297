package listener

import (
	"strings"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// The types of response bodies below use the field names of the OpenAI API.

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// responseFormat holds what differs between the responses of text and chat
// completions.
type responseFormat struct {
	idPrefix, object, chunkObject string
	isChat                        bool
}

var (
	textFormat = responseFormat{idPrefix: "cmpl-", object: "text_completion", chunkObject: "text_completion"}
	chatFormat = responseFormat{idPrefix: "chatcmpl-", object: "chat.completion", chunkObject: "chat.completion.chunk", isChat: true}
)

// response holds what both sinks need to build the response of one request.
type response struct {
	responseFormat
	request      identifier.Request
	model        string
	created      time.Time
	promptTokens identifier.Tokens
	outputTokens int
}

func (a *response) newCompletion(object string, choices []choice) completionResponse {
	return completionResponse{
		ID:      a.idPrefix + string(a.request),
		Object:  object,
		Created: a.created.Unix(),
		Model:   a.model,
		Choices: choices,
	}
}

func (a *response) totalUsage() *usage {
	prompt := int(a.promptTokens)
	return &usage{PromptTokens: prompt, CompletionTokens: a.outputTokens, TotalTokens: prompt + a.outputTokens}
}

// collector is a sink that collects the tokens of an answer for one response
// body.
type collector struct {
	response
	text         strings.Builder
	finishReason string
}

// WriteToken implements relayer.Sink.
func (c *collector) WriteToken(t driver.Token) error {
	c.text.WriteString(t.Text)
	c.outputTokens++
	c.finishReason = t.Finish
	return nil
}

func (c *collector) body() completionResponse {
	text := c.text.String()
	one := choice{FinishReason: &c.finishReason}
	if c.isChat {
		one.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	reply := c.newCompletion(c.object, []choice{one})
	reply.Usage = c.totalUsage()
	return reply
}
