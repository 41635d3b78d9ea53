// Package ownership decides which entry instance of an availability zone uses
// which upstream endpoint, so that the slots of an endpoint are counted in one
// place.
//
// Rendezvous hashing over the live instances determines the preferred owner of an
// endpoint. The preferred owner uses the endpoint only after every instance of the
// zone that is not declared dead has granted it. While an instance has granted an
// endpoint, it neither uses the endpoint nor grants it to another instance; the
// grant ends when the owner releases the endpoint or is declared dead. Each
// instance regularly sends a statement of the endpoints that it holds or claims,
// and releases an endpoint by omitting it from a later statement. An owner that is
// no longer preferred stops sending new requests when the preferred owner has
// claimed the endpoint, waits until no request is in flight and then releases it.
//
// An instance is declared dead if a new incarnation of it is seen, if its link
// address refuses connections, or if the platform's list omits it while it is
// silent. The endpoints that it may have used then stay blocked: for CancelMargin
// if its host has closed its connections, otherwise for the endpoint's request
// timeout plus RequestTimeoutMargin.
//
// A sibling that is listed but has been silent for long may be paused, or may be
// running and cut off. Each side then takes over the other's endpoints but uses
// only a part of the slots (SlotShare), so that the parts of all sides add up to no
// more than the whole. An instance limits itself according to the time at which it
// sent the last statement that the sibling has replied to, and takes over according to
// the time at which it last heard the sibling, which is never earlier. When the sides
// hear each other again, two instances may hold the same endpoint; the limit applies
// until one of them has released it.
//
// An instance whose control loop has been paused for longer than TickTimeout loses
// its endpoints and claims them again. Request handling must check Expiry before
// each request, so that it stops even before the control loop runs again.
//
// Failure modes:
//   - While a listed sibling is silent, a part of the slots of each endpoint stays
//     unused. An endpoint with a single slot is used by one side only, which may be
//     the silent one.
//   - Until the silence has lasted long enough, nobody takes over the endpoints of
//     a silent sibling.
//   - An instance that knows of a sibling neither from the list nor from a message
//     cannot limit itself on the sibling's behalf.
package ownership
