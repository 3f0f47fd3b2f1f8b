package masticgate

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"hash"

	"masticladder/masticcall"
	"masticladder/masticerror"
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
type promptReader func(f fields) ([]masticcall.Level, *masticerror.Error)

func readChat(f fields) ([]masticcall.Level, *masticerror.Error) {
	messages, _ := elements(f["messages"])
	if len(messages) == 0 {
		return nil, masticerror.New(masticerror.KindBadRequest, "the member \"messages\" is missing or empty")
	}
	levels := make([]masticcall.Level, 0, len(messages)+1)
	if raw := f["tools"]; !isNull(raw) {
		levels = append(levels, masticcall.Level{Role: "tools", Text: string(raw)})
	}
	for _, raw := range messages {
		m, ok := members(raw)
		if !ok {
			return nil, masticerror.New(masticerror.KindBadRequest, "a message is no object")
		}
		levels = append(levels, masticcall.Level{Role: textOf(m["role"]), Text: textOf(m["content"])})
	}
	return levels, nil
}

// textOf returns the text of a value that is a string, else its JSON, and nothing for null.
func textOf(raw json.RawMessage) string {
	switch {
	case isNull(raw):
		return ""
	case raw[0] == '"':
		return unquote(raw)
	default:
		return string(raw)
	}
}

func readCompletion(f fields) ([]masticcall.Level, *masticerror.Error) {
	var s string
	if e := f.read("prompt", &s); e != nil {
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
	f, e := parseFields(body, limits.MaxJSONDepth)
	if e != nil {
		return prompt{}, e
	}
	var p prompt
	if e := p.readOptions(f, maxOutput); e != nil {
		return prompt{}, e
	}
	if p.levels, e = read(f); e != nil {
		return prompt{}, e
	}
	p.promptTokens = countTokens(p.levels)
	p.digest = digestOf(p.model, p.levels)
	p.body = p.engineBody(f)
	return p, nil
}

func (p *prompt) readOptions(f fields, maxOutput int64) *masticerror.Error {
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
		if e := f.read(m.name, m.target); e != nil {
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

func (p *prompt) engineBody(f fields) []byte {
	delete(f, "max_completion_tokens")
	delete(f, "stream_options")
	f.set("max_tokens", p.outputTokens)
	if p.stream {
		f.set("stream_options", streamOptions{IncludeUsage: true})
	}
	return f.encode()
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
