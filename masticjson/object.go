package masticjson

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"masticladder/masticerror"
)

// Object holds the raw members of a JSON object, with names compared exactly.
type Object map[string]json.RawMessage

// Parse reads an object. Its errors never quote the body.
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

// depth returns the greatest nesting of brackets outside strings. The bytes may be anything.
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

// Read decodes the member called name into target; a missing or null one leaves it as it is.
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

// With returns a copy whose member called name holds value.
func (o Object) With(name string, value any) Object {
	b, _ := json.Marshal(value)
	out := maps.Clone(o)
	out[name] = b
	return out
}

// Without returns a copy that lacks the named members.
func (o Object) Without(names ...string) Object {
	out := maps.Clone(o)
	for _, n := range names {
		delete(out, n)
	}
	return out
}

// Text returns the text of a value that is a string, else its JSON, and nothing for null.
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

// Encode returns the object, with its members in the order of their names.
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
