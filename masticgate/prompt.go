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
	// bytesPerToken is the number of prompt bytes that are estimated as one token, until the
	// engine reports its own count.
	bytesPerToken = 4
	// tokensPerLevel is added for the delimiters around each message.
	tokensPerLevel = 4
)

// prompt is a parsed model request.
type prompt struct {
	model  string
	stream bool
	// wantsUsage reports that the caller asked for the usage event.
	wantsUsage   bool
	outputTokens int64
	promptTokens int64
	levels       []masticcall.Level
	content      masticcall.Content
	// body is the request body for the engine.
	body []byte
}

func (p prompt) allowedBy(profile masticview.Profile) bool { return profile.AllowsModel(p.model) }

// streamOptions is the member stream_options of the OpenAI-compatible API.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// promptReader extracts the parts of the prompt from one kind of request.
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

// parsePrompt parses a model request and prepares the body for the engine, which always has an
// output limit and, for a stream, requests the usage event.
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
	if len(p.levels) > masticcall.MaxParts {
		return prompt{}, masticerror.New(masticerror.KindBodyTooLarge, "a prompt of over %d messages", masticcall.MaxParts)
	}
	p.promptTokens = countTokens(p.levels)
	p.content = masticcall.Content{Digest: digestOf(p.model, p.levels), Parts: masticcall.PartsOf(p.levels)}
	p.body = p.engineBody(o)
	return p, nil
}

func (p *prompt) readOptions(o masticjson.Object, maxOutput int64) *masticerror.Error {
	var options streamOptions
	n, bestOf := int64(1), int64(1)
	p.outputTokens = maxOutput
	for _, m := range []struct {
		name   string
		target any
	}{
		{"model", &p.model},
		{"stream", &p.stream},
		{"stream_options", &options},
		{"n", &n},
		{"best_of", &bestOf},
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
	case n != 1 || bestOf != 1:
		return masticerror.New(masticerror.KindBadRequest, "only one choice can be asked for")
	case p.outputTokens < 1:
		return masticerror.New(masticerror.KindBadRequest, "the output limit has to be at least 1")
	}
	p.outputTokens = min(p.outputTokens, maxOutput)
	return nil
}

// engineBody returns the body o with the output limit as max_tokens. For a stream it also asks the
// engine for the usage.
func (p *prompt) engineBody(o masticjson.Object) []byte {
	o = o.Without("max_completion_tokens", "stream_options").With("max_tokens", p.outputTokens)
	if p.stream {
		o = o.With("stream_options", streamOptions{IncludeUsage: true})
	}
	return o.Encode()
}

// countTokens estimates the number of prompt tokens.
func countTokens(levels []masticcall.Level) int64 {
	var n int64
	for _, l := range levels {
		n += int64(len(l.Text)+bytesPerToken-1)/bytesPerToken + tokensPerLevel
	}
	return n
}

// digestOf returns the digest of a request's content. It depends only on the model and the
// prompt, not on the caller.
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

// writePart writes s with its length before it, so that parts cannot run into each other.
func writePart(h hash.Hash, s string) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(s)))
	h.Write(n[:])
	h.Write([]byte(s))
}
