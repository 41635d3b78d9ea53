package edge

import (
	"net/http"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/refusal"
	"lovagescale/internal/store"
	"lovagescale/internal/upstream"
)

// Ports are what a platform provides. None of them decides anything.
type Ports struct {
	Follower  store.Follower
	Registrar store.Registrar
	Entries   Entries
	Callers   Callers
	Upstreams *upstream.Dialect
	LookUps   LookUps
	// PathReadiness is the path of the platform's readiness checks.
	PathReadiness string
}

// Item is what an entry of the store means: a *catalog.Catalog, a
// placement.Record, a fleet.Member or an Evacuation.
type Item any

// Evacuation asks that a zone's endpoints get nothing.
type Evacuation struct{ Zone string }

// Entries turns the store's entries into items.
type Entries interface {
	// Prefix is what the instance follows.
	Prefix() string
	// Decode returns the entry's item, nil for one that concerns nobody here, or
	// an error that names the entry.
	Decode(entry store.Entry) (Item, error)
	// InstanceKey is the key of an instance's registration.
	InstanceKey(instance string) string
	// EncodeInstance returns the value of a registration.
	EncodeInstance(member fleet.Member) ([]byte, error)
}

// Asked is what a caller says beside the request itself.
type Asked struct {
	// ID identifies the caller's attempt; it may be empty.
	ID string
	// Key is the workspace key, or "".
	Key string
	// Object is what the request concerns, or "".
	Object string
	// Timeout is how long the caller waits; 0 is not told.
	Timeout time.Duration
}

// Callers is the platform's dialect of requests and refusals.
type Callers interface {
	// Read returns what the caller says.
	Read(r *http.Request) Asked
	// Forward takes off what endpoints must not see and names the workspace.
	Forward(header http.Header, workspace string)
	// Refuse writes a refusal of the attempt.
	Refuse(w http.ResponseWriter, id string, r *refusal.Refusal)
	// Load returns the load that an endpoint's answer tells.
	Load(header http.Header) (running, waiting int, told bool)
}

// LookUps is the platform's dialect of look-ups.
type LookUps interface {
	// Asked returns the caller's region; ok is false for another path.
	Asked(r *http.Request) (region string, ok bool)
	// Answer returns the body of an answer.
	Answer(addresses []string, ttl time.Duration) ([]byte, error)
}
