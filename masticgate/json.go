package masticgate

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"masticladder/masticerror"
)

// fields are the members of a JSON object, with names compared exactly.
type fields map[string]json.RawMessage

// parseFields reads an object. Its errors never quote the body.
func parseFields(body []byte, maxDepth int) (fields, *masticerror.Error) {
	if depthOf(body) > maxDepth {
		return nil, masticerror.New(masticerror.KindBadRequest, "the body is nested deeper than %d levels", maxDepth)
	}
	if json.Valid(body) {
		if f, ok := members(body); ok {
			return f, nil
		}
	}
	return nil, masticerror.New(masticerror.KindBadRequest, "the body is no JSON object")
}

// depthOf returns the greatest nesting of brackets outside strings. The bytes may be anything.
func depthOf(b []byte) int {
	depth, deepest := 0, 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			i = skipString(b, i) - 1
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		}
	}
	return deepest
}

func isNull(raw json.RawMessage) bool {
	return len(raw) == 0 || bytes.Equal(raw, []byte("null"))
}

// read decodes the member called name into target; a missing or null one leaves it as it is.
func (f fields) read(name string, target any) *masticerror.Error {
	raw := f[name]
	if isNull(raw) {
		return nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return masticerror.New(masticerror.KindBadRequest, "the member %q has a wrong type", name)
	}
	return nil
}

func (f fields) set(name string, value any) {
	b, _ := json.Marshal(value)
	f[name] = b
}

// encode returns the object, with its members in the order of their names.
func (f fields) encode() []byte {
	size := 2
	for name, raw := range f {
		size += len(name) + len(raw) + 4
	}
	b := append(make([]byte, 0, size), '{')
	for i, name := range slices.Sorted(maps.Keys(f)) {
		if i > 0 {
			b = append(b, ',')
		}
		quoted, _ := json.Marshal(name)
		b = append(append(b, quoted...), ':')
		b = append(b, f[name]...)
	}
	return append(b, '}')
}
