package wire

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// TestFuzzReadEnvelope feeds arbitrary bytes to the reader: it must return an
// error or an envelope, never allocate above the limit and never panic.
func TestFuzzReadEnvelope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "frame")
		envelope, err := ReadEnvelope(bytes.NewReader(frame), 1024)
		if err == nil && len(frame) < headerBytes {
			t.Fatalf("envelope %+v from %d bytes", envelope, len(frame))
		}
	})
}
