package masticstate

import (
	"math"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"masticladder/masticproto"
)

// maxMessageDepth bounds the nesting of drawn messages.
const maxMessageDepth = 5

// drawMessage sets random fields of m to random values.
func drawMessage(t *rapid.T, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if depth == 0 || rapid.IntRange(0, 3).Draw(t, "skip") == 0 {
			continue
		}
		if !f.IsList() {
			m.Set(f, drawValue(t, m.NewField(f), f, depth))
			continue
		}
		list := m.Mutable(f).List()
		for range rapid.IntRange(0, 3).Draw(t, "length") {
			list.Append(drawValue(t, list.NewElement(), f, depth))
		}
	}
}

// drawValue returns a value for one field, from few values so that names meet each other.
func drawValue(t *rapid.T, empty protoreflect.Value, f protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	numbers := []int64{0, 1, 2, -1, 1000, math.MaxInt64, math.MinInt64}
	number := func() int64 { return rapid.SampledFrom(numbers).Draw(t, "number") }
	switch f.Kind() {
	case protoreflect.MessageKind:
		drawMessage(t, empty.Message(), depth-1)
		return empty
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom([]string{"", "a", "b", "active", "engine", "http://127.0.0.1:1", "ended", "\xff"}).Draw(t, "text"))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(make([]byte, rapid.SampledFrom([]int{0, 1, 16, 32, 33}).Draw(t, "bytes")))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(rapid.Bool().Draw(t, "bool"))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(number()))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(number())
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(number()))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(number()))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number()))
	}
	return empty
}

// TestMalformedCommandsStopControl checks that no command which a host may submit makes a control host
// panic: all control hosts would apply it, and again after each restart.
func TestMalformedCommandsStopControl(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		for i := range uint64(rapid.IntRange(1, 12).Draw(t, "commands")) {
			c := &masticproto.Command{AtUnixMs: int64(i) * 100}
			kinds := c.ProtoReflect().Descriptor().Oneofs().ByName("kind").Fields()
			f := kinds.Get(rapid.IntRange(0, kinds.Len()-1).Draw(t, "kind"))
			c.ProtoReflect().Set(f, drawValue(t, c.ProtoReflect().NewField(f), f, maxMessageDepth))
			s.Apply(i+1, c)
		}
	})
}
