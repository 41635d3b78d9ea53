package settings_test

import (
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/settings"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *blockedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

var _ = Describe("NewBoundedWriter", func() {
	It("does not block callers while its output is blocked, and reports that lines were dropped", func() {
		blocked := &blockedWriter{release: make(chan struct{})}
		out, flush := settings.NewBoundedWriter(blocked)
		log := settings.NewLogger(out, "info", "test")
		written := make(chan struct{})
		go func() {
			defer close(written)
			for n := range 10000 {
				log.Info().Int("line", n).Msg("decision")
			}
		}()
		Eventually(written, 10*time.Second).Should(BeClosed())
		close(blocked.release)
		Eventually(blocked.String, 10*time.Second).Should(ContainSubstring("log lines were dropped"))
		flush()
	})
})
