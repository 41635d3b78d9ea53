package spread

import (
	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
)

// Message types on links between entry instances.
const (
	TypeExchange = "spread.exchange"
	TypePull     = "spread.pull"
)

// Message types that the operators' command line tool sends.
const (
	TypeWithdraw = "spread.withdraw"
	TypeStatus   = "spread.status"
)

// ageUnknown is the age of a configuration that was never known to be up to date with the
// store.
const ageUnknown = -1

// Summary describes the state of an instance. Each side of an exchange sends one.
type Summary struct {
	Instance string `msgpack:"i"`
	Revision uint64 `msgpack:"r"`
	// AgeMillis is the time in milliseconds since the configuration was last known to be up
	// to date with the store, or -1 if it never was.
	AgeMillis int64 `msgpack:"a"`
	// Withdrawals holds those that the sender's manifest does not record yet.
	Withdrawals []Withdrawal `msgpack:"w,omitempty"`
}

// Withdrawal withdraws a key before the manifest records it. Token is the withdrawal token
// of the key.
type Withdrawal struct {
	Identifier string `msgpack:"i"`
	Token      []byte `msgpack:"t"`
}

// WithdrawReply is the reply to a pushed withdrawal.
type WithdrawReply struct {
	// Withdrawn is true if the entry instance no longer accepts the key.
	Withdrawn bool `msgpack:"w"`
}

// PullRequest requests the difference from the given revision to the peer's, or single
// chunks. ChangeID is the change that made the given revision.
type PullRequest struct {
	Revision uint64 `msgpack:"r"`
	ChangeID string `msgpack:"c"`
	// WantChunks holds the digests of chunks that an earlier reply left out. If it is not
	// empty, the reply holds only chunks.
	WantChunks []string `msgpack:"w,omitempty"`
}

// PullReply is the reply to a PullRequest. The size of its chunks is limited, so that a pull can
// take several requests.
type PullReply struct {
	// AgeMillis has the same meaning as in Summary.
	AgeMillis int64 `msgpack:"a"`
	// BaseRevision is the revision to which ChunkDigests and RemovedChunks apply. If it is
	// 0, ChunkDigests lists all chunks.
	BaseRevision uint64 `msgpack:"b"`
	// Manifest is the sender's active manifest without its Chunks. Its Recent holds only the
	// changes after BaseRevision. In a reply to WantChunks, Manifest.Revision is 0.
	Manifest configuration.Manifest `msgpack:"m"`
	// ManifestSum is the digest of the complete manifest.
	ManifestSum string `msgpack:"s"`
	// ChunkDigests maps the names of new and changed chunks to their digests.
	ChunkDigests  map[string]string `msgpack:"e,omitempty"`
	RemovedChunks []string          `msgpack:"d,omitempty"`
	// Chunks maps digests to the contents of chunks, as many as the size limit allows.
	Chunks configuration.Chunks `msgpack:"h,omitempty"`
}

// StatusReply describes the active configuration of an entry instance to operators.
type StatusReply struct {
	Instance string `msgpack:"i" json:"instance"`
	Zone     string `msgpack:"z" json:"availability_zone"`
	Revision uint64 `msgpack:"r" json:"revision"`
	ChangeID string `msgpack:"c" json:"change_id"`
	// AgeMillis is the time in milliseconds since the configuration was last known to be up
	// to date with the store, or -1 if it never was.
	AgeMillis int64 `msgpack:"a" json:"informed_age_ms"`
	// Watching is true if the entry instance watches the store.
	Watching bool `msgpack:"w" json:"watching"`
	// Isolated names the workspaces that the entry instance refuses because the age exceeds
	// their isolation times.
	Isolated []string `msgpack:"o" json:"isolated_workspaces"`
}

// ExchangeCall is an exchange to send to a peer.
type ExchangeCall struct {
	Peer    membership.Member
	Summary Summary
}

// PullCall is a pull request to send to a peer.
type PullCall struct {
	Peer    membership.Member
	Request PullRequest
}

// Output is the result of processing an event: calls to make and, if Activate is not nil, a
// configuration to make active.
type Output struct {
	Exchanges []ExchangeCall
	Pulls     []PullCall
	Activate  *configuration.Configuration
}

// add appends the calls of other. A configuration in other replaces the one in o.
func (o *Output) add(other Output) {
	o.Exchanges = append(o.Exchanges, other.Exchanges...)
	o.Pulls = append(o.Pulls, other.Pulls...)
	if other.Activate != nil {
		o.Activate = other.Activate
	}
}
