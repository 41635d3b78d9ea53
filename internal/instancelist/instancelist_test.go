package instancelist_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"lovagescale/internal/instancelist"
)

// Guards against a list without end taking the memory of the process until the call's
// deadline.
func TestListWithoutEndIsBounded(t *testing.T) {
	g := NewWithT(t)
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, "[")
		block := strings.Repeat(`{"id":"one"},`, 1<<10)
		for err == nil {
			var n int
			n, err = io.WriteString(w, block)
			sent.Add(int64(n))
		}
	}))
	defer server.Close()
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := instancelist.NewClient(strings.TrimPrefix(server.URL, "http://"), timeout).Instances(ctx)
	var unavailable *instancelist.UnavailableError
	g.Expect(errors.As(err, &unavailable)).To(BeTrue())
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "ended by the bound, not by the deadline")
	const bound, buffers = 16 << 20, 16 << 20
	g.Expect(sent.Load()).To(BeNumerically("<=", bound+buffers))
}
