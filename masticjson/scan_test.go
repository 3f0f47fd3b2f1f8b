package masticjson

import (
	"encoding/json"
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// drawValue draws the text of one JSON value, with white space and all forms of escape sequences.
func drawValue(t *rapid.T, depth int) string {
	space := rapid.SampledFrom([]string{"", " ", "\n\t"}).Draw(t, "space")
	kinds := 4
	if depth == 0 {
		kinds = 2
	}
	switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
	case 0:
		return space + drawString(t) + space
	case 1:
		return space + rapid.SampledFrom([]string{"null", "true", "-1.5e3", "0"}).Draw(t, "literal") + space
	case 2:
		return space + "[" + drawItems(t, func() string { return drawValue(t, depth-1) }) + "]" + space
	default:
		return space + "{" + drawItems(t, func() string { return drawString(t) + space + ":" + drawValue(t, depth-1) }) + "}" + space
	}
}

func drawItems(t *rapid.T, item func() string) string {
	out := ""
	for i := range rapid.IntRange(0, 3).Draw(t, "items") {
		if i > 0 {
			out += ","
		}
		out += item()
	}
	return out
}

func drawString(t *rapid.T) string {
	parts := rapid.SliceOfN(rapid.SampledFrom([]string{
		`a`, `\"`, `\\`, `\/`, `\n`, `\b`, `é`, `\u00e9`, `\ud83d\ude00`, `\ud83d`, `\ude00`, "\xff", `{`, `]`, `,`, `:`,
	}), 0, 5).Draw(t, "text")
	out := `"`
	for _, p := range parts {
		out += p
	}
	return out + `"`
}

// TestScanAgreesWithJSON checks that objects, arrays and strings are decoded as encoding/json
// decodes them.
func TestScanAgreesWithJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte(drawValue(t, 3))
		if !json.Valid(raw) {
			t.Fatalf("drew no JSON: %s", raw)
		}
		var object map[string]json.RawMessage
		isObject := json.Unmarshal(raw, &object) == nil && object != nil
		f, ok := Members(raw)
		if ok != isObject || len(f) != len(object) {
			t.Fatalf("members of %s: %v, not %v", raw, f, object)
		}
		for name, v := range object {
			if string(f[name]) != string(v) {
				t.Fatalf("member %q of %s: %s, not %s", name, raw, f[name], v)
			}
		}
		var array []json.RawMessage
		isArray := json.Unmarshal(raw, &array) == nil && array != nil
		e, ok := Elements(raw)
		if ok != isArray || len(e) != len(array) {
			t.Fatalf("elements of %s: %s, not %s", raw, e, array)
		}
		for i := range array {
			if string(e[i]) != string(array[i]) {
				t.Fatalf("element %d of %s: %s, not %s", i, raw, e[i], array[i])
			}
		}
		if isObject && !sameJSON(raw, f.Encode()) {
			t.Fatalf("%s was encoded as %s", raw, f.Encode())
		}
		quoted := []byte(drawString(t))
		var want string
		if err := json.Unmarshal(quoted, &want); err != nil || unquote(quoted) != want {
			t.Fatalf("%s: %q, not %q", quoted, unquote(quoted), want)
		}
	})
}

func sameJSON(a, b []byte) bool {
	var v, w any
	if json.Unmarshal(a, &v) != nil || json.Unmarshal(b, &w) != nil {
		return false
	}
	x, _ := json.Marshal(v)
	y, _ := json.Marshal(w)
	return string(x) == string(y)
}

// TestInvalidJSONIsRejected checks that truncated JSON is rejected and never read past its end.
func TestInvalidJSONIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte(drawValue(t, 3))
		raw = raw[:rapid.IntRange(0, len(raw)).Draw(t, "cut")]
		depth(raw)
		f, e := Parse(raw, 8)
		var object map[string]json.RawMessage
		if want := json.Unmarshal(raw, &object) == nil && object != nil; (e == nil) != want {
			t.Fatalf("%q: %v, %v", raw, f, e)
		}
	})
}

func TestDepth(t *testing.T) {
	c := qt.New(t)
	c.Assert(depth([]byte(`{"a":"[[[\"[[","b":[[1],{"c":[]}]}`)), qt.Equals, 4)
	c.Assert(depth([]byte(`"[[`)), qt.Equals, 0)
}
