package pipeline

import (
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// pieces are parts of byte streams: requests of all kinds and what is none.
var pieces = []string{
	get("/i/a"), get("/i/slow"), get("/i/slow", "/i/b", "/i/large"), get("/i/close"), get("/i/missing"), get("/i/empty"),
	get("/i/slow-panic"), get("/a/slow"), get("/a/close"), get("/a/1", "/i/slow", "/a/2"),
	"HEAD /i/head HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /i/lf HTTP/1.1\nHost: h\n\n",
	"GET /i/slow-body HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
	"POST /a/body HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
	"POST /a/crlf HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab\r\n",
	"POST /a/slow-unread HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
	"POST /i/unread HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
	"POST /i/chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"POST /a/chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nT: v\r\n\r\n",
	"POST /i/slow-chunks-unread HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"POST /a/both HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"POST /i/expect HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
	"POST /i/expect-unread HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
	"GET /i/expect HTTP/1.1\r\nHost: h\r\nExpect: something\r\n\r\n",
	"GET /i/slow HTTP/1.0\r\nHost: h\r\n\r\n",
	"GET /i/keep HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
	"GET /i/slow-last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	"OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nGET /",
	"GET /i/no-host HTTP/1.1\r\n\r\n",
	"GET /i/two-hosts HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n",
	"GET /i/bad-host HTTP/1.1\r\nHost: h h\r\n\r\n",
	"GET /i/bad-name HTTP/1.1\r\nHost: h\r\nA(b): c\r\n\r\n",
	"GET /i/bad-value HTTP/1.1\r\nHost: h\r\nA: b\x01c\r\n\r\n",
	"GET /i/folded HTTP/1.1\r\nHost: h\r\nA: b\r\n  \r\n\tc\r\n\r\n",
	"GET http://h/i/absolute HTTP/1.1\r\nHost: g\r\n\r\n",
	"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /i/upgrade HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"GET /i/header HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 20_000) + "\r\n\r\n",
	"POST /i/slow-long HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("y", 70_000),
	"\r\n", "\n", " ", "garbage\r\n\r\n", "GET /i/", "5\r\nhello", "POST /i/short HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n",
}

var dateLine = regexp.MustCompile(`Date: [^\r]*\r\n`)

// Guards against requests that are split at other bytes than net/http splits them, against
// responses out of order or changed, against requests that run although net/http would not
// have read them, and against at-most-once requests that run early or twice.
func TestFuzzPipelineAgainstSequentialServer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stream := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 12).Draw(rt, "pieces"), "")
		if rapid.IntRange(0, 3).Draw(rt, "mutate") == 0 {
			at := rapid.IntRange(0, len(stream)-1).Draw(rt, "at")
			with := rapid.SampledFrom([]string{"", "\r", "\n", "\r\n", "\x00", " ", ":", "0", "x"}).Draw(rt, "with")
			stream = stream[:at] + with + stream[min(at+rapid.IntRange(0, 2).Draw(rt, "removed"), len(stream)):]
		}
		cuts := rapid.SliceOfN(rapid.IntRange(0, len(stream)), 0, 6).Draw(rt, "cuts")
		slices.Sort(cuts)
		var parts []string
		start := 0
		for _, cut := range append(cuts, len(stream)) {
			parts = append(parts, stream[start:cut])
			start = cut
		}
		wantStarted, want := serveStream(t, &testServer{}, false, parts)
		gotStarted, got := serveStream(t, &testServer{}, true, parts)
		// All that may run early: what the server reads if no response closes the connection.
		readable, _ := serveStream(t, &testServer{staysOpen: true}, false, parts)
		if got != want {
			rt.Fatalf("responses differ for %q\ngot  %q\nwant %q", parts, got, want)
		}
		if a, b := atMostOnce(gotStarted), atMostOnce(wantStarted); !slices.Equal(a, b) {
			rt.Fatalf("at-most-once requests differ for %q: %q, want %q", parts, a, b)
		}
		if missing := without(wantStarted, gotStarted); len(missing) > 0 {
			rt.Fatalf("requests %q did not run for %q", missing, parts)
		}
		if rejected := without(gotStarted, readable); len(rejected) > 0 {
			rt.Fatalf("requests %q ran, which the server rejects, for %q", rejected, parts)
		}
	})
}

// without returns the requests of one list that are not in the other one as often.
func without(requests, others []string) []string {
	others = slices.Clone(others)
	return slices.DeleteFunc(slices.Clone(requests), func(request string) bool {
		at := slices.Index(others, request)
		if at >= 0 {
			others = slices.Delete(others, at, at+1)
		}
		return at >= 0
	})
}

// atMostOnce returns the requests that must not be started early.
func atMostOnce(started []string) []string {
	return slices.DeleteFunc(slices.Clone(started), func(request string) bool { return strings.Contains(request, " /i/") })
}

// serveStream returns the requests that a server starts for a byte stream, and its responses.
func serveStream(t *testing.T, s *testServer, pipelined bool, parts []string) (started []string, received string) {
	synctest.Test(t, func(t *testing.T) {
		memory := &testMemory{limit: 8000} // less than the large response
		const headMemory = 1 << 20         // more than all pieces need
		heads := newSharedMemory(headMemory)
		s.start(t, pipelined, Options{Memory: memory, Heads: &HeadLimits{MaxBytes: func() int { return headMemory }, Memory: heads}})
		written := make(chan struct{})
		go func() {
			defer close(written)
			for _, part := range parts {
				if _, err := s.caller.Write([]byte(part)); err != nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
		<-written
		started, received = s.after(time.Minute)
		received = dateLine.ReplaceAllString(received, "")
		_ = s.caller.Close()
		synctest.Wait()
		if held := memory.held.Load() + headMemory - heads.left(); held != 0 || s.listener != nil && s.listener.Depth() != 0 {
			t.Errorf("%d bytes are held, or requests remain, after the connection has ended: %q", held, parts)
		}
	})
	return started, received
}
