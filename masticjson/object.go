package masticjson

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"masticladder/masticerror"
)

// Object maps the names of a JSON object's members to their raw values. Names are compared
// exactly.
type Object map[string]json.RawMessage

// Parse parses a body that is a JSON object nested at most maxDepth levels deep. Its errors have
// kind badRequest and never quote the body.
func Parse(body []byte, maxDepth int) (Object, *masticerror.Error) {
	if depth(body) > maxDepth {
		return nil, masticerror.New(masticerror.KindBadRequest, "the body is nested deeper than %d levels", maxDepth)
	}
	if json.Valid(body) {
		if o, ok := Members(body); ok {
			return o, nil
		}
	}
	return nil, masticerror.New(masticerror.KindBadRequest, "the body is no JSON object")
}

// depth returns the maximum nesting depth of brackets outside strings. b need not be valid JSON.
func depth(b []byte) int {
	level, deepest := 0, 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			i = skipString(b, i) - 1
		case '{', '[':
			level++
			deepest = max(deepest, level)
		case '}', ']':
			level--
		}
	}
	return deepest
}

// IsNull reports whether raw is missing or null.
func IsNull(raw json.RawMessage) bool {
	return len(raw) == 0 || bytes.Equal(raw, []byte("null"))
}

// Read decodes the member called name into target. A missing or null member leaves target
// unchanged.
func (o Object) Read(name string, target any) *masticerror.Error {
	raw := o[name]
	if IsNull(raw) {
		return nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return masticerror.New(masticerror.KindBadRequest, "the member %q has a wrong type", name)
	}
	return nil
}

// With returns a copy in which the member called name has the given value.
func (o Object) With(name string, value any) Object {
	b, _ := json.Marshal(value)
	out := maps.Clone(o)
	out[name] = b
	return out
}

// Without returns a copy without the named members.
func (o Object) Without(names ...string) Object {
	out := maps.Clone(o)
	for _, n := range names {
		delete(out, n)
	}
	return out
}

// Text returns the decoded text of a JSON string, an empty string for null or a missing value,
// and the JSON text of any other value.
func Text(raw json.RawMessage) string {
	switch {
	case IsNull(raw):
		return ""
	case raw[0] == '"':
		return unquote(raw)
	default:
		return string(raw)
	}
}

// Encode returns the object as JSON with its members sorted by name.
func (o Object) Encode() []byte {
	size := 2
	for name, raw := range o {
		size += len(name) + len(raw) + 4
	}
	b := append(make([]byte, 0, size), '{')
	for i, name := range slices.Sorted(maps.Keys(o)) {
		if i > 0 {
			b = append(b, ',')
		}
		quoted, _ := json.Marshal(name)
		b = append(append(b, quoted...), ':')
		b = append(b, o[name]...)
	}
	return append(b, '}')
}
