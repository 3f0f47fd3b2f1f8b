package masticfake

import (
	"encoding/json"

	"masticladder/masticstream"
)

// wireUsage is the field usage of a response.
type wireUsage struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	PromptDetails    wireDetails `json:"prompt_tokens_details"`
}

// wireDetails is the field prompt_tokens_details.
type wireDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// wireChoice is a choice of a response or an event.
type wireChoice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// wireResponse is a whole response or the data of an event.
type wireResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

func (g *generation) usage() *wireUsage {
	return &wireUsage{
		PromptTokens:     g.promptTokens,
		CompletionTokens: g.outputTokens,
		TotalTokens:      g.promptTokens + g.outputTokens,
		PromptDetails:    wireDetails{CachedTokens: g.cachedTokens},
	}
}

func (g *generation) objectType(chat, completion string) string {
	if g.chat {
		return chat
	}
	return completion
}

func (g *generation) wholeResponse(text string) []byte {
	stop := "stop"
	c := wireChoice{FinishReason: &stop}
	if g.chat {
		c.Message = &Message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	return g.encode(g.objectType("chat.completion", "text_completion"), []wireChoice{c}, g.usage())
}

// events returns the data of all events of the stream, with the end mark last.
func (g *generation) events() [][]byte {
	object := g.objectType("chat.completion.chunk", "text_completion")
	out := make([][]byte, 0, g.outputTokens+3)
	for i := range g.outputTokens {
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
	b, _ := json.Marshal(wireResponse{
		ID:      "chatcmpl-" + g.id,
		Object:  object,
		Model:   g.request.Model,
		Choices: choices,
		Usage:   usage,
	})
	return b
}
