package settings

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// maxQueuedLines is the capacity of the queue of lines to write.
	maxQueuedLines = 2000
	// pollInterval is the interval at which the queue is checked for lines.
	pollInterval = 100 * time.Millisecond
)

// NewBoundedWriter returns a writer that never blocks its callers, even if out does.
// Lines wait in a bounded queue. If the queue overflows, the oldest lines are
// dropped, and a line of its own reports their number. The returned function writes
// the queued lines and closes the writer, and out if it is an io.Closer.
func NewBoundedWriter(out io.Writer) (io.Writer, func()) {
	w := diode.NewWriter(out, maxQueuedLines, pollInterval, func(dropped int) {
		_, _ = fmt.Fprintf(out, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped\"}\n", dropped)
	})
	return w, func() { _ = w.Close() }
}
