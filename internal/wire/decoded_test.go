package wire

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// Guards against a message whose elements are miscounted, so that it takes more memory than is
// reserved for it: all elements of an encoded value are found, and arbitrary bytes cause no panic.
func TestFuzzDecodedBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value, collections, scalars := drawValue(t, 3)
		encoded, err := msgpack.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		want := copies*int64(len(encoded)) + collectionBytes*collections + scalarBytes*scalars
		if got := DecodedBytes(encoded); got != want {
			t.Fatalf("%x: %d bytes, want %d", encoded, got, want)
		}
		DecodedBytes(rapid.SliceOf(rapid.Byte()).Draw(t, "arbitrary"))
	})
}

// drawValue returns a value and the numbers of its elements.
func drawValue(t *rapid.T, depth int) (value any, collections, scalars int64) {
	switch kind := rapid.IntRange(0, 8).Draw(t, "kind"); {
	case kind == 0:
		return nil, 1, 0
	case kind == 1 && depth > 0:
		values := []any{}
		collections = 1
		for range rapid.IntRange(0, 20).Draw(t, "length") {
			v, c, s := drawValue(t, depth-1)
			values, collections, scalars = append(values, v), collections+c, scalars+s
		}
		return values, collections, scalars
	case kind == 2 && depth > 0:
		values := map[string]any{}
		for range rapid.IntRange(0, 20).Draw(t, "length") {
			name := rapid.String().Draw(t, "name")
			if _, known := values[name]; known {
				continue
			}
			v, c, s := drawValue(t, depth-1)
			values[name], collections, scalars = v, collections+c, scalars+s+1
		}
		return values, collections + 1, scalars
	}
	return rapid.OneOf(
		rapid.Int64().AsAny(), rapid.Uint64().AsAny(), rapid.Float64().AsAny(), rapid.Float32().AsAny(), rapid.Bool().AsAny(),
		rapid.String().AsAny(), rapid.SliceOfN(rapid.Byte(), 1, 70_000).AsAny(), rapid.Int8().AsAny(), rapid.Uint16().AsAny(),
	).Draw(t, "scalar"), 0, 1
}
