package listener

import (
	"strings"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// The bodies below have the field names that OpenAI clients read.

type completionReply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int       `json:"index"`
	Text         *string   `json:"text,omitempty"`
	Message      *chatText `json:"message,omitempty"`
	Delta        *chatText `json:"delta,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type chatText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// form is what the two kinds of completions differ in.
type form struct {
	id, object, chunk string
	chat              bool
}

var (
	plainForm = form{id: "cmpl-", object: "text_completion", chunk: "text_completion"}
	chatForm  = form{id: "chatcmpl-", object: "chat.completion", chunk: "chat.completion.chunk", chat: true}
)

// answer is what both sinks know of their request.
type answer struct {
	form
	request identifier.Request
	model   string
	created time.Time
	prompt  identifier.Tokens
	output  int
}

func (a *answer) reply(object string, choices []choice) completionReply {
	return completionReply{
		ID:      a.id + string(a.request),
		Object:  object,
		Created: a.created.Unix(),
		Model:   a.model,
		Choices: choices,
	}
}

func (a *answer) usage() *usage {
	prompt := int(a.prompt)
	return &usage{PromptTokens: prompt, CompletionTokens: a.output, TotalTokens: prompt + a.output}
}

// collector is a sink that keeps the answer to send it as one body.
type collector struct {
	answer
	text   strings.Builder
	finish string
}

// Token implements relayer.Sink.
func (c *collector) Token(t driver.Token) error {
	c.text.WriteString(t.Text)
	c.output++
	c.finish = t.Finish
	return nil
}

func (c *collector) body() completionReply {
	text := c.text.String()
	one := choice{FinishReason: &c.finish}
	if c.chat {
		one.Message = &chatText{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	reply := c.reply(c.object, []choice{one})
	reply.Usage = c.usage()
	return reply
}
