package quota

import "time"

// Message types on links between entries.
const (
	TypeGrantRequest = "quota.ask"
	TypeCede         = "quota.cede"
)

// reservedShare stands for all reserved shares of an entry together. Numbers from 0
// on are owner shares.
const reservedShare = -1

// GrantRequest asks an issuer for tokens of a workspace.
type GrantRequest struct {
	Workspace string `msgpack:"w"`
	// Share is the number of an owner share or reservedShare.
	Share int `msgpack:"p"`
	// Sequence increases with each request of a holder to an issuer for the same
	// share.
	Sequence uint64 `msgpack:"s"`
	// Held is the amount from this share that the holder may still spend. The holder
	// no longer accepts a grant of an earlier sequence.
	Held   Microtokens `msgpack:"h"`
	Amount Microtokens `msgpack:"n"`
	// Returned is an amount from this share that the holder gives back and has
	// already debited.
	Returned Microtokens `msgpack:"r"`
}

// GrantRequestBatch is the body of a TypeGrantRequest message.
type GrantRequestBatch struct {
	From     string         `msgpack:"f"`
	Requests []GrantRequest `msgpack:"a"`
}

// Grant is the reply to one GrantRequest.
type Grant struct {
	Workspace string      `msgpack:"w"`
	Share     int         `msgpack:"p"`
	Sequence  uint64      `msgpack:"s"`
	Amount    Microtokens `msgpack:"a"`
	// HalfRefillTime is the time in which the share gets half its burst.
	HalfRefillTime time.Duration `msgpack:"r"`
	// Issues is false when the receiver of the request does not issue the share.
	// Owner is then the incarnation that it believes to be the owner, or "".
	Issues bool   `msgpack:"i"`
	Owner  string `msgpack:"o"`
}

// GrantBatch is the reply to a GrantRequestBatch.
type GrantBatch struct {
	Grants []Grant `msgpack:"g"`
}

// CedeRequest asks an entry of the same zone for some of its reserved shares.
type CedeRequest struct {
	Incarnation string `msgpack:"n"`
	Instance    string `msgpack:"i"`
}

// OutgoingRequest is a grant request to be sent to an entry.
type OutgoingRequest struct {
	To      string
	Request GrantRequest
}

// Decision ends the wait of one request.
type Decision struct {
	ID       uint64
	Admitted bool
	// RetryAfter is the time until a token for the request can exist.
	RetryAfter time.Duration
}

// Peer is another entry that is reachable.
type Peer struct {
	Incarnation string
	Instance    string
	Zone        string
	// Leaving is true for an entry that is shutting down and takes no new work.
	Leaving bool
}

// ReservedShareRecord is the record of one reserved share in the store.
type ReservedShareRecord struct {
	Incarnation string `msgpack:"n"`
	Instance    string `msgpack:"i"`
	// Heartbeat increases while the holder is known to be alive.
	Heartbeat uint64 `msgpack:"b"`
	// Divisor is the number of zones that the reserved fraction was divided by.
	Divisor int `msgpack:"d"`
}

// ZoneRecord is the record of the reserved shares of a zone in the store.
type ZoneRecord struct {
	Shares []ReservedShareRecord `msgpack:"s"`
}

// OwnerShareRecord is the record of one owner share in the store.
type OwnerShareRecord struct {
	Incarnation string `msgpack:"n"`
	Instance    string `msgpack:"i"`
	// Epoch increases with each change of owner.
	Epoch uint64 `msgpack:"e"`
	// Heartbeat increases with each renewal.
	Heartbeat uint64 `msgpack:"b"`
}

// Remainder is what was left of the bucket of a workspace when its owner stopped
// issuing an owner share.
type Remainder struct {
	Workspace string `msgpack:"w"`
	// Level can still be spent. Outstanding may still be spent by the holders of
	// grants.
	Level       Microtokens `msgpack:"l"`
	Outstanding Microtokens `msgpack:"o"`
}

// OwnerTable is the record of all owner shares in the store.
type OwnerTable struct {
	Shares []OwnerShareRecord `msgpack:"s"`
	// Remainders holds the remainders of owner shares that were released.
	Remainders map[int][]Remainder `msgpack:"l"`
}
