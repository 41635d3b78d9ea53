package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"lovagescale/internal/pipeline"
)

// Guards against a stopping entry that cuts off requests that it has read behind the one
// that it answers.
func TestLeavingEntryAnswersPipelinedRequests(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	e := new(Entry)
	pipelines := pipeline.NewListener(listener, pipeline.Options{Draining: e.drain.isLeaving})
	e.pipelines.Store(pipelines)
	release := make(chan struct{})
	next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusOK)
	})
	server := &http.Server{Handler: pipeline.Handler(e.drain.handler(next, nil), func(*http.Request) bool { return true }), ConnContext: pipeline.ConnContext}
	go func() { _ = server.Serve(pipelines) }()
	defer server.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer caller.Close()
	_, err = io.WriteString(caller, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(pipelines.Depth).Should(BeEquivalentTo(2))
	e.drain.phase.Store(int32(leaving))
	close(release)
	reader := bufio.NewReader(caller)
	for n := range 3 {
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Header.Get(headerLeaving)).To(Equal("true"))
		g.Expect(response.Close).To(Equal(n == 2), "response %d", n)
	}
	g.Eventually(pipelines.Depth).Should(BeZero())
}
