package masticjson

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func readArray(text string, maxBytes int) ([]string, Object, int, error) {
	a := NewArrayReader(strings.NewReader(text), "list", maxBytes)
	var elements []string
	o, err := a.Read(func(raw json.RawMessage) { elements = append(elements, string(raw)) })
	return elements, o, a.Skipped, err
}

// manyMembers returns n members of an object.
func manyMembers(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `"m%d":1,`, i)
	}
	return b.String()
}

// TestArrayReaderSkipsWhatIsTooLarge checks that elements of any depth and size cost no other element.
func TestArrayReaderSkipsWhatIsTooLarge(t *testing.T) {
	c := qt.New(t)
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	long := `{"a":"` + strings.Repeat("x", 2<<20) + `"}`
	elements, o, skipped, err := readArray(`{ "list" : [1, `+deep+` ,{"a":"]}\\\"["}, `+long+`,null ], "next":"p", "other":{"list":[7]}}`, 1000)
	c.Assert(err, qt.IsNil)
	c.Assert(elements, qt.DeepEquals, []string{"1", `{"a":"]}\\\"["}`, "null"})
	c.Assert(skipped, qt.Equals, 2)
	c.Assert(string(o["next"]), qt.Equals, `"p"`)
	for _, broken := range []string{``, `7`, `[`, `{`, `{"list":[1,`, `{"list":[{"a":`, `{"list":[]`, `{"list" 1}`, `{x}`, `{"a":"\q"}`} {
		_, _, _, err := readArray(broken, 1000)
		if broken != `{"a":"\q"}` {
			c.Assert(err, qt.IsNotNil, qt.Commentf("%s", broken))
		}
	}
	_, o, skipped, err = readArray(`{`+manyMembers(1000)+`"list":[]}`, 1000)
	c.Assert(err, qt.IsNil)
	c.Assert(len(o) <= maxMembers, qt.IsTrue)
	c.Assert(skipped > 900, qt.IsTrue)
	elements, _, _, err = readArray(`{"list":{"a":[1]},"next":null}`, 1000)
	c.Assert(err, qt.IsNil)
	c.Assert(elements, qt.HasLen, 0)
}

// TestArrayReaderFindsElements compares the elements of random arrays with those that encoding/json finds.
func TestArrayReaderFindsElements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []json.RawMessage
		for range rapid.IntRange(0, 5).Draw(t, "n") {
			list = append(list, json.RawMessage(drawValue(t, 3)))
		}
		text, err := json.Marshal(map[string]any{"a": "x", "list": list, "z": []int{1}})
		if err != nil {
			t.Fatal(err)
		}
		elements, o, skipped, err := readArray(string(text), 1<<20)
		if err != nil || skipped != 0 || string(o["z"]) != "[1]" {
			t.Fatal(err, skipped, o)
		}
		var want struct{ List []json.RawMessage }
		if err := json.Unmarshal(text, &want); err != nil {
			t.Fatal(err)
		}
		if len(want.List) != len(elements) {
			t.Fatalf("%d elements, want %d", len(elements), len(want.List))
		}
		for i, e := range elements {
			if e != string(want.List[i]) {
				t.Fatalf("%s, want %s", e, want.List[i])
			}
		}
	})
}

// TestDamagedValueIsReadWithoutEnd: a byte with which no value begins was neither read nor refused.
func TestDamagedValueIsReadWithoutEnd(t *testing.T) {
	c := qt.New(t)
	for _, element := range []string{":", "}", "1 2", "-", "tru", `{"a"}`, `{"a":}`, `{"a":1,}`, `{,}`, `{1:2}`, `{"a":1]`, `[1}`, `[1,]`, `"\x"`, `"\u00g0"`, "\"\n\""} {
		text := `{"list":[{"x":1},` + element + `,{"y":2}],"next":null}`
		_, _, _, err := readArray(text, 1000)
		c.Assert(err, qt.ErrorIs, errMalformed, qt.Commentf("%s", text))
		var elements []string
		a := NewArrayReader(strings.NewReader(text), "list", 1000, WithDamagedElementsSkipped(1000))
		o, err := a.Read(func(raw json.RawMessage) { elements = append(elements, string(raw)) })
		c.Assert(err, qt.IsNil, qt.Commentf("%s", text))
		c.Assert(elements, qt.DeepEquals, []string{`{"x":1}`, `{"y":2}`}, qt.Commentf("%s", text))
		c.Assert(string(o["next"]), qt.Equals, "null")
		c.Assert(a.Skipped > 0, qt.IsTrue)
	}
}

// TestDamageBeyondTheRewindIsReported checks that elements which are lost beside a large damaged one are not taken for gone.
func TestDamageBeyondTheRewindIsReported(t *testing.T) {
	c := qt.New(t)
	text := `{"list":[{"x":1},{"a":"` + strings.Repeat("a", 5000) + `,{"y":2},{"z":3}],"next":null}`
	var elements []string
	a := NewArrayReader(strings.NewReader(text), "list", 1000, WithDamagedElementsSkipped(1000))
	_, err := a.Read(func(raw json.RawMessage) { elements = append(elements, string(raw)) })
	c.Assert(err, qt.ErrorIs, errMalformed)
	c.Assert(elements, qt.DeepEquals, []string{`{"x":1}`, `{"z":3}`})
}

// FuzzArrayReader checks that any bytes are read to an end, and that no element between two others affects them, but by hiding the begin of an
// element behind its own.
func FuzzArrayReader(f *testing.F) {
	for _, seed := range []string{"", ":", `{"a":`, `{"a":"`, `{"a":[1`, `],"b":1`, `}`, `"\u00`, "[[[", "\xff\x00", `{"a":{}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, element []byte) {
		text := `{"list":[{"x":1},` + string(element) + `,{"y":2}],"next":null}`
		_, _, _, _ = readArray(text, 1000)
		_, _, _, _ = readArray(string(element), 1000)
		var elements []string
		a := NewArrayReader(strings.NewReader(text), "list", 1<<20, WithDamagedElementsSkipped(1<<20))
		o, err := a.Read(func(raw json.RawMessage) {
			if !json.Valid(raw) {
				t.Fatalf("%q is no element", raw)
			}
			elements = append(elements, string(raw))
		})
		if err != nil {
			t.Skip("partial")
		}
		if len(elements) < 1 || elements[0] != `{"x":1}` || elements[len(elements)-1] != `{"y":2}` && !strings.HasSuffix(elements[len(elements)-1], `,{"y":2}]}`) || string(o["next"]) != "null" {
			t.Fatalf("%q: %q, %v", text, elements, o)
		}
	})
}
