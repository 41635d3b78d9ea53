package wire

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// TestFuzzReadEnvelope passes arbitrary bytes to ReadEnvelope, which must return an
// error or an envelope and must not panic. Input shorter than a header must not
// yield an envelope. That it allocates at most the limit is not measured here.
func TestFuzzReadEnvelope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "frame")
		envelope, err := ReadEnvelope(bytes.NewReader(frame), 1024)
		if err == nil && len(frame) < headerBytes {
			t.Fatalf("envelope %+v from %d bytes", envelope, len(frame))
		}
	})
}
