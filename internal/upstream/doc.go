// Package upstream sends HTTP/1.1 requests to one upstream endpoint and decides
// whether the bytes that come back are a complete answer to the request that
// was sent.
//
// A connection carries one request at a time. It is reused for another request
// only after a complete, matching answer; after a late, truncated or mismatched
// answer it is closed. Requests that must run at most once always use a new
// connection: the upstream may have closed an idle one in the meantime, and
// then their outcome would be unknown. This package never repeats an exchange.
//
// An answer must carry a Content-Length or be chunked. An answer whose body ends
// where its connection ends cannot be told from a truncated one and is rejected.
// Interim answers (1xx) are skipped.
//
// What an upstream may report besides its answer:
//
//	Lovage-Request-Id        echoes the request's identifier; any other is rejected
//	Lovage-Upstream-Outcome  "not-run": refused before any work began
//	Lovage-Upstream-Draining "true": the upstream asks for no new work
//	GET /lovage/health       returns a Report
//
// A request tells the upstream the remaining time in Lovage-Timeout-Ms.
//
// These headers and the rules for answers are those of the default Dialect;
// another Dialect may change them.
//
// A Pool never has more connections open than its limit. Before it reuses an
// idle connection, it checks that the upstream has neither closed the connection
// nor sent unrequested data on it.
package upstream
