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
// Silence proves nothing, so an instance that is cut off keeps what it holds
// and no other instance takes it. Proof of death is one of: a new incarnation
// of the instance speaks; its link address refuses connections; the platform's
// list leaves it out while it is silent. After a proof the endpoints that it
// can have used stay blocked: for CancelMargin if its connections were closed
// by its host, else for the endpoint's bound on a request and BoundMargin.
//
// An instance whose control loop was paused for longer than Hold loses its
// rights and claims again. Traffic checks Expiry before each request, so that
// it stops before the control loop has run again.
//
// How it fails: the endpoints of an owner that is silent and not proved dead
// are used by nobody else; their share of the zone's capacity is missing until
// it speaks or a proof arrives. An instance that the platform leaves out of
// its list although it runs, is cut off from its siblings and was not paused
// would go on beside its successor.
package ownership
