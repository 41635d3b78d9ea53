package placement

import "time"

// Record is the registration that an endpoint keeps in the store.
type Record struct {
	// ID identifies the endpoint.
	ID string
	// StartMillis is the start of the endpoint's lifetime in Unix milliseconds, or 0 if
	// unknown.
	StartMillis int64
	// Sequence increases with each record of one lifetime.
	Sequence uint64
	Upstream string
	Address  string
	Zone     string
	Slots    int
	// Draining endpoints get no new requests.
	Draining bool
	// ColdLeft is the time for which the endpoint stays cold, counted from the record.
	ColdLeft time.Duration
}

// olderThan reports whether the record was written before other. The order in which
// records reach the store may differ.
func (r Record) olderThan(other Record) bool {
	if r.StartMillis != other.StartMillis {
		return r.StartMillis < other.StartMillis
	}
	return r.Sequence < other.Sequence
}

// sameLifetime reports whether both records are of one lifetime of the endpoint at one
// address.
func (r Record) sameLifetime(other Record) bool {
	return r.ID == other.ID && r.StartMillis == other.StartMillis && r.Upstream == other.Upstream &&
		r.Address == other.Address && r.Zone == other.Zone && r.Slots == other.Slots
}
