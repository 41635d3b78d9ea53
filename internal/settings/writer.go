package settings

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

// Bounds of the lines that wait to be written.
const (
	maxWaitingLines = 2000
	writeInterval   = 100 * time.Millisecond
)

// BoundedWriter returns a writer that never blocks its callers: lines wait in a
// bounded queue, and those that find it full are dropped and counted by a line
// of their own. The returned function writes what waits.
func BoundedWriter(out io.Writer) (io.Writer, func()) {
	w := diode.NewWriter(out, maxWaitingLines, writeInterval, func(missed int) {
		_, _ = fmt.Fprintf(out, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped\"}\n", missed)
	})
	return w, func() { _ = w.Close() }
}
