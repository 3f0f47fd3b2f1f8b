package masticfake

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Token returns the i-th output token of every Engine for messages and model. With it a reader can
// check that a response is complete and belongs to its request.
func Token(model string, messages []Message, i int) string {
	return tokenOf(seedOf(model, messages), i)
}

// Text returns the first n output tokens of every Engine for messages and model.
func Text(model string, messages []Message, n int) string {
	seed := seedOf(model, messages)
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenOf(seed, i))
	}
	return b.String()
}

func seedOf(model string, messages []Message) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	for _, m := range messages {
		_, _ = d.WriteString("\x00" + m.Role + "\x00" + m.Content)
	}
	return d.Sum64()
}

func tokenOf(seed uint64, i int) string {
	return fmt.Sprintf("%08x ", uint32(seed+uint64(i)*0x9e3779b9))
}
