package masticgate

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticjson"
	"masticladder/masticview"
)

const (
	// bytesPerToken is the prompt bytes that one token is counted for before the engine has counted.
	bytesPerToken = 4
	// tokensPerLevel is added for the marks round each message.
	tokensPerLevel = 4
)

// prompt is a model request as the gate understands it.
type prompt struct {
	model  string
	stream bool
	// wantsUsage reports that the caller asked for the usage event.
	wantsUsage   bool
	outputTokens int64
	promptTokens int64
	levels       []masticcall.Level
	digest       masticview.Digest
	// body is what the engine gets.
	body []byte
}

func (p prompt) allowedBy(profile masticview.Profile) bool { return profile.AllowsModel(p.model) }

// streamOptions is the member stream_options of the usual protocol.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// promptReader takes the prompt's parts out of one kind of request.
type promptReader func(o masticjson.Object) ([]masticcall.Level, *masticerror.Error)

func readChat(o masticjson.Object) ([]masticcall.Level, *masticerror.Error) {
	messages, _ := masticjson.Elements(o["messages"])
	if len(messages) == 0 {
		return nil, masticerror.New(masticerror.KindBadRequest, "the member \"messages\" is missing or empty")
	}
	levels := make([]masticcall.Level, 0, len(messages)+1)
	if raw := o["tools"]; !masticjson.IsNull(raw) {
		levels = append(levels, masticcall.Level{Role: "tools", Text: string(raw)})
	}
	for _, raw := range messages {
		m, ok := masticjson.Members(raw)
		if !ok {
			return nil, masticerror.New(masticerror.KindBadRequest, "a message is no object")
		}
		levels = append(levels, masticcall.Level{Role: masticjson.Text(m["role"]), Text: masticjson.Text(m["content"])})
	}
	return levels, nil
}

func readCompletion(o masticjson.Object) ([]masticcall.Level, *masticerror.Error) {
	var s string
	if e := o.Read("prompt", &s); e != nil {
		return nil, e
	}
	if s == "" {
		return nil, masticerror.New(masticerror.KindBadRequest, "the member \"prompt\" is missing or empty")
	}
	return []masticcall.Level{{Role: "prompt", Text: s}}, nil
}

// parsePrompt reads a model request and prepares what the engine gets: always with
// an output limit, and with the usage asked for.
func parsePrompt(body []byte, read promptReader, limits Limits, maxOutput int64) (prompt, *masticerror.Error) {
	o, e := masticjson.Parse(body, limits.MaxJSONDepth)
	if e != nil {
		return prompt{}, e
	}
	var p prompt
	if e := p.readOptions(o, maxOutput); e != nil {
		return prompt{}, e
	}
	if p.levels, e = read(o); e != nil {
		return prompt{}, e
	}
	p.promptTokens = countTokens(p.levels)
	p.digest = digestOf(p.model, p.levels)
	p.body = p.engineBody(o)
	return p, nil
}

func (p *prompt) readOptions(o masticjson.Object, maxOutput int64) *masticerror.Error {
	var options streamOptions
	n, best := int64(1), int64(1)
	p.outputTokens = maxOutput
	for _, m := range []struct {
		name   string
		target any
	}{
		{"model", &p.model},
		{"stream", &p.stream},
		{"stream_options", &options},
		{"n", &n},
		{"best_of", &best},
		{"max_tokens", &p.outputTokens},
		{"max_completion_tokens", &p.outputTokens},
	} {
		if e := o.Read(m.name, m.target); e != nil {
			return e
		}
	}
	p.wantsUsage = options.IncludeUsage
	switch {
	case p.model == "":
		return masticerror.New(masticerror.KindBadRequest, "the member \"model\" is missing")
	case n != 1 || best != 1:
		return masticerror.New(masticerror.KindBadRequest, "only one choice can be asked for")
	case p.outputTokens < 1:
		return masticerror.New(masticerror.KindBadRequest, "the output limit has to be at least 1")
	}
	p.outputTokens = min(p.outputTokens, maxOutput)
	return nil
}

func (p *prompt) engineBody(o masticjson.Object) []byte {
	o = o.Without("max_completion_tokens", "stream_options").With("max_tokens", p.outputTokens)
	if p.stream {
		o = o.With("stream_options", streamOptions{IncludeUsage: true})
	}
	return o.Encode()
}

func countTokens(levels []masticcall.Level) int64 {
	var n int64
	for _, l := range levels {
		n += int64(len(l.Text)+bytesPerToken-1)/bytesPerToken + tokensPerLevel
	}
	return n
}

// digestOf names a request's content: the same for the same prompt, whoever sends it.
func digestOf(model string, levels []masticcall.Level) masticview.Digest {
	h := sha256.New()
	writePart(h, model)
	for _, l := range levels {
		writePart(h, l.Role)
		writePart(h, l.Text)
	}
	var d masticview.Digest
	h.Sum(d[:0])
	return d
}

func writePart(h hash.Hash, s string) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(s)))
	h.Write(n[:])
	h.Write([]byte(s))
}
