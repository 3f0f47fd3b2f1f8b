package masticgate

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestChoicesOfAnswerTakeManyTimesTheirSize: the choices of an answer were decoded to see whether there are any; a byte of
// the answer took some tens of bytes.
func TestChoicesOfAnswerTakeManyTimesTheirSize(t *testing.T) {
	c := qt.New(t)
	answer := []byte(`{"choices":[` + strings.Repeat("1,", 1<<19) + `1],"usage":{"prompt_tokens":3}}`)
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m := &modelCall{}
			m.readUsage(answer)
			if m.usage.PromptTokens != 3 {
				b.Fatal("usage not read")
			}
		}
	})
	c.Assert(result.AllocedBytesPerOp() < int64(len(answer)), qt.IsTrue, qt.Commentf("%d bytes for %d", result.AllocedBytesPerOp(), len(answer)))
}

// TestUsageOnly checks which events have no choices.
func TestUsageOnly(t *testing.T) {
	c := qt.New(t)
	for data, want := range map[string]bool{
		`{"usage":{},"choices":[]}`: true, `{"usage":{},"choices":[ ]}`: true, `{"usage":{}}`: true, `{"usage":{},"choices":null}`: true,
		`{"usage":{},"choices":[{}]}`: false, `{"usage":{},"choices":[ 1]}`: false, `{"usage":{},"choices":7}`: false,
		`{"choices":[]}`: false, `7`: false,
	} {
		c.Check((&modelCall{}).readUsage([]byte(data)), qt.Equals, want, qt.Commentf("%s", data))
	}
}
