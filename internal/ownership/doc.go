// Package ownership decides which entry instance of an availability zone uses
// which upstream endpoint, so that the slots of an endpoint are counted in one
// place.
//
// Rendezvous hashing over the live instances names the preferred owner. The
// preferred owner uses an endpoint only after every instance of the zone that
// is not proved dead has granted it. A grant is a promise: the granter neither
// uses the endpoint nor grants it to another instance until the owner releases
// it or is proved dead. Each instance states from time to time what it holds
// or claims; what a later statement leaves out is released. An owner that is
// no longer preferred stops new requests, waits until none is in flight and
// then releases.
//
// Proof of death is one of: a new incarnation of the instance speaks; its link
// address refuses connections; the platform's list leaves it out while it is
// silent. After a proof the endpoints that it can have used stay blocked: for
// CancelMargin if its connections were closed by its host, else for the
// endpoint's bound on a request and BoundMargin.
//
// A sibling that is listed and silent for long may be frozen, or run and be cut
// off. Each side then takes over, but uses only a part of the slots (Share): the
// parts of all sides add up to no more than the whole. An instance limits itself
// by the time at which it sent its last answered statement, and takes over by
// the time at which it last heard the other, which is never earlier. After a
// cut two instances may hold one endpoint; the limit stays until one has
// released it.
//
// An instance whose control loop was paused for longer than Hold loses its
// rights and claims again. Traffic checks Expiry before each request, so that
// it stops before the control loop has run again.
//
// How it fails: while a listed sibling is silent a part of each slot count is
// not used, with a single slot all of it on one side. Until the silence has
// lasted long enough nobody takes over the endpoints of a silent sibling. An
// instance that neither the list nor any message has told of a sibling cannot
// limit itself for it.
package ownership
