package placement

import "time"

// Record is what an endpoint says of itself in the store.
type Record struct {
	// ID identifies one registered endpoint.
	ID string
	// Born is the start of the endpoint's lifetime in Unix milliseconds; 0 where
	// it is not told.
	Born int64
	// Sequence rises with each record of one lifetime.
	Sequence uint64
	Upstream string
	Address  string
	Zone     string
	Slots    int
	// Draining endpoints get no new work.
	Draining bool
	// ColdLeft is how much longer the endpoint stays cold, as of the record.
	ColdLeft time.Duration
}

// older reports whether the record was written before the other one, although it
// may have reached the store later.
func (r Record) older(other Record) bool {
	if r.Born != other.Born {
		return r.Born < other.Born
	}
	return r.Sequence < other.Sequence
}

// sameLifetime reports whether both records are of one run at one address.
func (r Record) sameLifetime(other Record) bool {
	return r.ID == other.ID && r.Born == other.Born && r.Upstream == other.Upstream &&
		r.Address == other.Address && r.Zone == other.Zone && r.Slots == other.Slots
}
