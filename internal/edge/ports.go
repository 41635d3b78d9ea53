package edge

import (
	"net/http"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/placement"
	"lovagescale/internal/refusal"
	"lovagescale/internal/store"
	"lovagescale/internal/upstream"
)

// Ports are the platform's implementations of what an instance depends on. They translate
// but decide nothing.
type Ports struct {
	Follower  store.Follower
	Registrar store.Registrar
	Entries   EntryCodec
	Callers   CallerDialect
	Upstreams *upstream.Dialect
	Lookups   LookupDialect
	// DialEndpoint opens a connection to an endpoint; nil stands for upstream.Dial.
	DialEndpoint upstream.DialFunc
	// PathReadiness is the path of the platform's readiness checks.
	PathReadiness string
}

// Resource is a decoded entry of the store: a *catalog.Catalog, a placement.Record, a
// fleet.Member or an Evacuation.
type Resource any

// Evacuation states that the endpoints of a zone get no requests.
type Evacuation struct{ Zone string }

// EntryCodec decodes and encodes the store's entries.
type EntryCodec interface {
	// Prefix returns the prefix of the keys that the instance follows.
	Prefix() string
	// Decode returns the entry's resource, nil for an entry that instances do not use, or
	// an error that names the entry.
	Decode(entry store.Entry) (Resource, error)
	// EvacuationKey returns the key of the evacuation of a zone.
	EvacuationKey(zone string) string
	// InstanceKey returns the key of an instance's registration.
	InstanceKey(instance string) string
	// EncodeInstance returns the value of an instance's registration.
	EncodeInstance(member fleet.Member) ([]byte, error)
}

// CallerInfo is what a caller states about its request in the platform's headers.
type CallerInfo struct {
	// ID is the identifier that the caller gave the request, or "".
	ID string
	// WorkspaceKey is the workspace key, or "".
	WorkspaceKey string
	// ObjectName is the name of the object that the request concerns, or "".
	ObjectName string
	// Timeout is how long the caller waits, or 0 if unknown.
	Timeout time.Duration
}

// CallerDialect is how the platform expresses requests and refusals.
type CallerDialect interface {
	// ParseCallerInfo returns what the caller states about the request.
	ParseCallerInfo(r *http.Request) CallerInfo
	// RewriteHeader removes the headers that endpoints must not see and adds the name of
	// the workspace.
	RewriteHeader(header http.Header, workspace string)
	// WriteRefusal writes a refusal of the request with the given identifier.
	WriteRefusal(w http.ResponseWriter, id string, r *refusal.Refusal)
	// PromisesNotRun reports whether a status tells callers that the request did not run
	// and never will.
	PromisesNotRun(status int) bool
	// ParseReportedLoad returns the load that an endpoint reported in its answer. reported
	// is false if there is none that can be used. An error names a value that is malformed
	// or implausible, also if the others can be used.
	ParseReportedLoad(header http.Header) (load placement.ReportedLoad, reported bool, err error)
}

// LookupDialect is how the platform expresses lookups.
type LookupDialect interface {
	// ParseRegion returns the caller's region. ok is false if the path is not that of
	// lookups.
	ParseRegion(r *http.Request) (region string, ok bool)
	// EncodeAnswer returns the body of the answer to a lookup.
	EncodeAnswer(addresses []string, ttl time.Duration) ([]byte, error)
}
