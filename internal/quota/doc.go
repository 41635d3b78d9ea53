// Package quota enforces the rate and burst of each workspace over all entry
// instances together: in any interval of t seconds the instances admit at most
// burst + rate*t requests of a workspace.
//
// A quota is a token bucket that is only divided. Each part has one issuer,
// which alone creates its tokens at the part's rate. Tokens of a part, those at
// its issuer and those it granted to others, never exceed the part's burst, and
// the parts of a quota add up to no more than the whole. Two kinds of part
// exist:
//
//   - Reserved shares belong to an availability zone. The store records which
//     entry incarnation holds each. They do not lapse, so that a zone which is
//     cut off goes on serving.
//   - Owner shares are shared by all zones. An owner holds a lease on each,
//     recorded in the store and fenced by an epoch.
//
// An entry that is short of tokens asks the owners and other entries for a
// grant. The issuer debits a grant before it sends it. Grants expire at their
// holder by the holder's monotonic clock, counted from when it asked, and later
// at their issuer. A part that changes hands starts empty and issues nothing
// until all grants of its former issuer have expired.
//
// Core is the decision core. It reads no clock and does no I/O. Stage is the
// stage on the request path; it spends from atomics that the control goroutine
// fills.
//
// How it fails. Lost messages and dead entries lose tokens and never create
// any. While the store is out, shares keep their holders; owner shares stop
// after OwnerTTL. A dead owner's shares issue nothing until they have been
// taken over; reserved shares carry on. An entry that was paused for longer
// than PauseLimit spends nothing until it has read its shares in the store
// again. Refusals have status 429, outcome "not-run" and a Retry-After.
package quota
