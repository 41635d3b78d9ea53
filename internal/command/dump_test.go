package command

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// An error page was printed like a state, with exit code 0.
func TestDumpFailsOnAnErrorPage(t *testing.T) {
	g := NewWithT(t)
	status := http.StatusNotFound
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	var out strings.Builder
	dump := Dump{Address: strings.TrimPrefix(server.URL, "http://")}
	var dumpErr *DumpError
	g.Expect(dump.Run(&Environment{Out: &out})).To(BeAssignableToTypeOf(dumpErr))
	g.Expect(out.String()).To(BeEmpty())
	status = http.StatusOK
	g.Expect(dump.Run(&Environment{Out: &out})).To(Succeed())
	g.Expect(out.String()).To(Equal("{}\n"))
}
