package masticfake

import (
	"encoding/json"

	"masticladder/masticstream"
)

// wireUsage is the member usage of the usual protocol.
type wireUsage struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	PromptDetails    wireDetails `json:"prompt_tokens_details"`
}

// wireDetails is the member prompt_tokens_details.
type wireDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// wireChoice is one choice of an answer or event.
type wireChoice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// wireAnswer is an answer or the data of an event.
type wireAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

func (g *generation) usage() *wireUsage {
	return &wireUsage{
		PromptTokens:     g.promptSize,
		CompletionTokens: g.tokens,
		TotalTokens:      g.promptSize + g.tokens,
		PromptDetails:    wireDetails{CachedTokens: g.cached},
	}
}

func (g *generation) object(chat, completion string) string {
	if g.chat {
		return chat
	}
	return completion
}

func (g *generation) wholeBody(text string) []byte {
	stop := "stop"
	c := wireChoice{FinishReason: &stop}
	if g.chat {
		c.Message = &Message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	return g.encode(g.object("chat.completion", "text_completion"), []wireChoice{c}, g.usage())
}

// events returns the data of all events of the stream, the end mark last.
func (g *generation) events() [][]byte {
	object := g.object("chat.completion.chunk", "text_completion")
	out := make([][]byte, 0, g.tokens+3)
	for i := range g.tokens {
		out = append(out, g.encode(object, []wireChoice{g.choice(tokenOf(g.seed, i))}, nil))
	}
	stop := "stop"
	last := g.choice("")
	last.FinishReason = &stop
	out = append(out, g.encode(object, []wireChoice{last}, nil))
	if g.request.Options.IncludeUsage {
		out = append(out, g.encode(object, []wireChoice{}, g.usage()))
	}
	return append(out, []byte(masticstream.EndMark))
}

func (g *generation) choice(text string) wireChoice {
	if g.chat {
		return wireChoice{Delta: &Message{Role: "assistant", Content: text}}
	}
	return wireChoice{Text: text}
}

func (g *generation) encode(object string, choices []wireChoice, usage *wireUsage) []byte {
	b, _ := json.Marshal(wireAnswer{
		ID:      "chatcmpl-" + g.id,
		Object:  object,
		Model:   g.request.Model,
		Choices: choices,
		Usage:   usage,
	})
	return b
}
