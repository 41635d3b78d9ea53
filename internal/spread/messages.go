package spread

import (
	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
)

// Message types on links between entries.
const (
	TypeExchange = "spread.exchange"
	TypePull     = "spread.pull"
)

// Message types from the operators' command line.
const (
	TypeWithdraw = "spread.withdraw"
	TypeStatus   = "spread.status"
)

// ageNever is the age of an instance that has not been informed yet.
const ageNever = -1

// Summary tells what an instance has. Both sides of an exchange send one.
type Summary struct {
	Instance string `msgpack:"i"`
	Revision uint64 `msgpack:"r"`
	// AgeMillis is the time since the state was that of the store, or -1.
	AgeMillis int64 `msgpack:"a"`
	// Withdrawals are those that the sender's manifest does not have yet.
	Withdrawals []Withdrawal `msgpack:"w,omitempty"`
}

// Withdrawal withdraws a key ahead of the manifest.
type Withdrawal struct {
	Identifier string `msgpack:"i"`
	Token      []byte `msgpack:"t"`
}

// WithdrawReply answers a pushed withdrawal.
type WithdrawReply struct {
	// Withdrawn is true when the key does not work on the entry any more.
	Withdrawn bool `msgpack:"w"`
}

// PullRequest asks for the difference to a revision, or for single chunks.
type PullRequest struct {
	Revision uint64 `msgpack:"r"`
	ChangeID string `msgpack:"c"`
	// Want holds digests of chunks that an earlier reply left out.
	Want []string `msgpack:"w,omitempty"`
}

// PullReply is a bounded part of the sender's state.
type PullReply struct {
	AgeMillis int64 `msgpack:"a"`
	// Base is the revision that Set and Remove change; 0 is none. Without a
	// manifest part (a reply to Want) Manifest.Revision is 0.
	Base uint64 `msgpack:"b"`
	// Manifest has Chunks left out; Recent holds the changes after Base.
	Manifest configuration.Manifest `msgpack:"m"`
	Sum      string                 `msgpack:"s"`
	Set      map[string]string      `msgpack:"e,omitempty"`
	Remove   []string               `msgpack:"d,omitempty"`
	// Chunks holds contents by digest, as many as fit.
	Chunks configuration.Chunks `msgpack:"h,omitempty"`
}

// StatusReply tells operators what an entry has in force.
type StatusReply struct {
	Instance string `msgpack:"i" json:"instance"`
	Zone     string `msgpack:"z" json:"availability_zone"`
	Revision uint64 `msgpack:"r" json:"revision"`
	ChangeID string `msgpack:"c" json:"change_id"`
	// AgeMillis is the time since the state was that of the store, or -1.
	AgeMillis int64 `msgpack:"a" json:"informed_age_ms"`
	Watching  bool  `msgpack:"w" json:"watching"`
	// Isolated names the workspaces that the entry refuses for its isolation.
	Isolated []string `msgpack:"o" json:"isolated_workspaces"`
}

// ExchangeCall is an exchange to send.
type ExchangeCall struct {
	Peer    membership.Member
	Summary Summary
}

// PullCall is a pull to send.
type PullCall struct {
	Peer    membership.Member
	Request PullRequest
}

// Output is what follows from a message: calls to make and, if not nil, a
// configuration to put in force.
type Output struct {
	Exchanges []ExchangeCall
	Pulls     []PullCall
	Install   *configuration.Configuration
}

func (o *Output) add(other Output) {
	o.Exchanges = append(o.Exchanges, other.Exchanges...)
	o.Pulls = append(o.Pulls, other.Pulls...)
	if other.Install != nil {
		o.Install = other.Install
	}
}
