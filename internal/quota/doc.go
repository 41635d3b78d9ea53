// Package quota enforces the rate and burst of each workspace over all entry
// instances together: in any interval of t seconds the instances admit at most burst
// + rate*t requests of a workspace.
//
// The quota of a workspace is a token bucket that is divided into shares. Each share
// has one issuer, which alone creates its tokens, at the rate of the share. The
// tokens of a share, at its issuer and granted to others, never exceed the burst of
// the share, and all shares of a quota together never exceed the quota. There are two
// kinds of shares:
//
//   - Reserved shares belong to an availability zone. The store records which entry
//     incarnation holds each. They do not expire, so a zone that is cut off from the
//     others keeps serving.
//   - Owner shares are used by all zones. An owner holds a lease on each. The store
//     records the owner, with an epoch that increases with each change of owner.
//
// An entry that is short of tokens requests grants from the owners and from the
// reserved shares of other entries. The issuer debits a grant before it sends it. At
// the holder, a grant expires by the holder's monotonic clock, counted from the time
// of the request; at the issuer it expires later. A share that changes hands starts
// empty and issues nothing until all grants of its former issuer have expired, unless
// the former owner released it and recorded the remainders of its buckets: these are
// continued at once.
//
// Core makes the decisions; it reads no clock and does no I/O. Stage is the stage on
// the request path; it spends tokens from atomic counters that the control goroutine
// fills.
//
// Failures: lost messages and entries that die lose tokens and never create any.
// While the store is unavailable, shares keep their holders, but owner shares stop
// issuing after OwnerTTL. The owner shares of a dead entry issue nothing until they
// have been taken over; reserved shares keep issuing. An entry that was paused for
// longer than PauseLimit spends nothing until it has read its shares in the store
// again. Refusals have status 429, outcome "not-run" and a Retry-After header.
package quota
