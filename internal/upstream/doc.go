// Package upstream speaks HTTP/1.1 to one upstream endpoint and decides
// whether what came back is a whole answer to the request that was sent.
//
// A connection carries one request at a time. It is kept for another request
// only after a whole, matching answer; after a late, cut or mismatched one it
// is closed. Requests that must run at most once always use a fresh
// connection, so that a connection which the upstream closed meanwhile cannot
// leave their outcome in doubt, and no exchange is ever repeated here.
//
// An answer must carry a Content-Length or be chunked: one that ends with its
// connection cannot be told from a cut one and is no answer. Interim answers
// (1xx) are passed over.
//
// What an upstream may say besides its answer:
//
//	Lovage-Request-Id        echoes the request's identifier; another one is no answer
//	Lovage-Upstream-Outcome  "not-run": refused before work began
//	Lovage-Upstream-Draining "true": no new work, please
//	GET /lovage/health       a Report
//
// An upstream is told the time left in Lovage-Timeout-Ms.
//
// A Pool never has more connections open than its limit. One that the upstream
// closed while it was idle, or on which it sent something unasked, is found out
// before the next request is written to it.
package upstream
