package masticgate

import (
	"bytes"
	"encoding/json"

	"masticladder/masticerror"
)

// fields are the members of a JSON object, with names compared exactly.
type fields map[string]json.RawMessage

// parseFields reads an object. Its errors never quote the body.
func parseFields(body []byte, maxDepth int) (fields, *masticerror.Error) {
	if depthOf(body) > maxDepth {
		return nil, masticerror.New(masticerror.KindBadRequest, "the body is nested deeper than %d levels", maxDepth)
	}
	var f fields
	if err := json.Unmarshal(body, &f); err != nil || f == nil {
		return nil, masticerror.New(masticerror.KindBadRequest, "the body is no JSON object")
	}
	return f, nil
}

// depthOf returns the greatest nesting of brackets outside strings.
func depthOf(b []byte) int {
	depth, deepest := 0, 0
	inString := false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
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
