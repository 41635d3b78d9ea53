package quota

import "time"

// Message types on links between entries.
const (
	TypeAsk  = "quota.ask"
	TypeCede = "quota.cede"
)

// reservedPart names the reserved shares of an entry as the part of a quota;
// numbers from 0 name owner shares.
const reservedPart = -1

// Ask asks an issuer for tokens of a workspace.
type Ask struct {
	Workspace string `msgpack:"w"`
	// Part is an owner share or reservedPart.
	Part int `msgpack:"p"`
	// Sequence rises with each ask of a holder to an issuer's part.
	Sequence uint64 `msgpack:"s"`
	// Held is the amount from this part that the holder may still spend. The
	// holder accepts no grant of an earlier sequence any more.
	Held Units `msgpack:"h"`
	Want Units `msgpack:"n"`
	// Returned is an amount from this part that the holder gives back. It has
	// debited it.
	Returned Units `msgpack:"r"`
}

// AskBatch is the body of a TypeAsk request.
type AskBatch struct {
	From string `msgpack:"f"`
	Asks []Ask  `msgpack:"a"`
}

// Grant answers an Ask.
type Grant struct {
	Workspace string `msgpack:"w"`
	Part      int    `msgpack:"p"`
	Sequence  uint64 `msgpack:"s"`
	Amount    Units  `msgpack:"a"`
	// Refill is the time in which the part gets half its burst.
	Refill time.Duration `msgpack:"r"`
	// Issues is false when the receiver does not issue the part; Owner then
	// names the incarnation that it believes to, or "".
	Issues bool   `msgpack:"i"`
	Owner  string `msgpack:"o"`
}

// GrantBatch is the reply to an AskBatch.
type GrantBatch struct {
	Grants []Grant `msgpack:"g"`
}

// CedeRequest asks an entry of the same zone for some of its reserved shares.
type CedeRequest struct {
	Incarnation string `msgpack:"n"`
	Instance    string `msgpack:"i"`
}

// Outgoing is an ask to be sent to an entry.
type Outgoing struct {
	To  string
	Ask Ask
}

// Decision ends the wait of one request.
type Decision struct {
	ID       uint64
	Admitted bool
	// RetryAfter is the time until tokens for the request can exist.
	RetryAfter time.Duration
}

// Peer is another entry that is reachable.
type Peer struct {
	Incarnation string
	Instance    string
	Zone        string
	// Leaving is true for an entry that takes no new work.
	Leaving bool
}

// Slot is the record of one reserved share in the store.
type Slot struct {
	Incarnation string `msgpack:"n"`
	Instance    string `msgpack:"i"`
	// Beat rises while the holder is known to live.
	Beat uint64 `msgpack:"b"`
	// Divisor is the number of zones that the reserved part was divided by.
	Divisor int `msgpack:"d"`
}

// ZoneRecord holds the reserved shares of a zone.
type ZoneRecord struct {
	Slots []Slot `msgpack:"s"`
}

// Ownership is the record of one owner share in the store.
type Ownership struct {
	Incarnation string `msgpack:"n"`
	Instance    string `msgpack:"i"`
	// Epoch rises with each change of owner.
	Epoch uint64 `msgpack:"e"`
	// Beat rises with each renewal.
	Beat uint64 `msgpack:"b"`
}

// Remainder is what an owner that gave up a share left of a workspace's part.
type Remainder struct {
	Workspace string `msgpack:"w"`
	// Level can still be spent; Outstanding may be spent by holders of grants.
	Level       Units `msgpack:"l"`
	Outstanding Units `msgpack:"o"`
}

// OwnerTable holds all owner shares.
type OwnerTable struct {
	Shares []Ownership `msgpack:"s"`
	// Left holds the remainders of shares that were given up.
	Left map[int][]Remainder `msgpack:"l"`
}
