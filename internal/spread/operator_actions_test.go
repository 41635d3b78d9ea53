package spread

import (
	"context"
	"fmt"
	"math/rand/v2"

	"lovagescale/internal/configuration"
	"lovagescale/internal/workspacekey"
)

// publisher returns a publisher with the given change identifier.
func (s *simulation) publisher(change string) *configuration.Publisher {
	return &configuration.Publisher{Store: s.store, Author: "fuzz", ChangeID: change}
}

// recordPublication records the store's current revision and the digest of its manifest for
// the oracle. It reads the store even when that is down for the nodes, but records nothing
// after the store was restored to an older state.
func (s *simulation) recordPublication() {
	down := s.store.Unavailable
	s.store.Unavailable = false
	defer func() { s.store.Unavailable = down }()
	if current, err := s.publisher("").Current(context.Background()); err == nil && current.StoreRevision > 0 && !s.storeRestored {
		s.publishedSums[current.Manifest.Revision] = current.Manifest.Sum()
		s.publications = append(s.publications, publication{at: s.now, revision: current.Manifest.Revision})
	}
}

// applyEdit publishes an edited configuration text. If concurrent is true, another operator
// publishes an edit just before the manifest of this one is written.
func (s *simulation) applyEdit(concurrent bool) {
	s.editCount++
	text, err := configuration.Parse("text", fmt.Appendf(nil, baseText, s.editCount%200, 1000+s.editCount))
	if err != nil {
		s.failf("configuration text cannot be parsed: %v", err)
		return
	}
	p := s.publisher(fmt.Sprint("change ", s.editCount))
	base, err := p.Current(context.Background())
	if err != nil {
		return
	}
	if concurrent {
		s.store.BeforeWriteKey = configuration.ManifestKey
		s.store.BeforeWrite = func() { s.applyEdit(false); s.recordPublication() }
	}
	revision, err := p.Apply(context.Background(), base, text)
	s.store.BeforeWrite = nil
	s.recordPublication()
	if err == nil && concurrent && revision == base.Manifest.Revision+1 && s.publishedSums[revision] == "" {
		s.failf("revision %d was reported as applied but is not in the store", revision)
	}
}

// grantKey publishes a new key for the workspace.
func (s *simulation) grantKey() {
	key, record, err := workspacekey.Generate(randomReader{s.random}, "azul")
	if err != nil {
		s.failf("key cannot be generated: %v", err)
		return
	}
	s.keys[record.Identifier] = key
	token := []byte(key)
	_, _ = s.publisher("grant "+record.Identifier).GrantKey(context.Background(), record, token)
	s.recordPublication()
}

// withdrawKey pushes the withdrawal of a key to node i. If publish is true, it also publishes
// the withdrawal in the store.
func (s *simulation) withdrawKey(identifier string, i int, publish bool) {
	n := s.nodes[i]
	withdrawn, out := n.core.Withdraw(Withdrawal{Identifier: identifier, Token: []byte(s.keys[identifier])})
	if withdrawn {
		n.knownWithdrawals[identifier] = true
	}
	s.applyOutput(i, out)
	if publish {
		_, _ = s.publisher("withdraw "+identifier).WithdrawKey(context.Background(), "azul", identifier)
		s.recordPublication()
	}
}

// randomReader is a source of random bytes that the seed determines.
type randomReader struct{ *rand.Rand }

func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.Uint32())
	}
	return len(p), nil
}
