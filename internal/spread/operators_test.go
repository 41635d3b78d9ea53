package spread

import (
	"context"
	"fmt"
	"math/rand/v2"

	"lovagescale/internal/configuration"
	"lovagescale/internal/workspacekey"
)

func (w *world) publisher(change string) *configuration.Publisher {
	return &configuration.Publisher{Store: w.store, Author: "fuzz", ChangeID: change}
}

// record notes what the store has, as the truth about its revision.
func (w *world) record() {
	down := w.store.Down
	w.store.Down = false
	defer func() { w.store.Down = down }()
	if current, err := w.publisher("").Current(context.Background()); err == nil && current.StoreRevision > 0 && !w.restored {
		w.published[current.Manifest.Revision] = current.Manifest.Sum()
		w.timeline = append(w.timeline, moment{at: w.now, revision: current.Manifest.Revision})
	}
}

// edit applies a new text; another operator may race it.
func (w *world) edit(race bool) {
	w.variant++
	text, err := configuration.Parse("text", fmt.Appendf(nil, baseText, w.variant%200, 1000+w.variant))
	if err != nil {
		w.failf("text: %v", err)
		return
	}
	p := w.publisher(fmt.Sprint("change ", w.variant))
	base, err := p.Current(context.Background())
	if err != nil {
		return
	}
	if race {
		w.store.BeforeKey = configuration.ManifestKey
		w.store.Before = func() { w.edit(false); w.record() }
	}
	revision, err := p.Apply(context.Background(), base, text)
	w.store.Before = nil
	w.record()
	if err == nil && race && revision == base.Manifest.Revision+1 && w.published[revision] == "" {
		w.failf("revision %d reported as applied is not in the store", revision)
	}
}

func (w *world) grant() {
	key, record, err := workspacekey.Generate(randomReader{w.random}, "azul")
	if err != nil {
		w.failf("generate: %v", err)
		return
	}
	w.keys[record.Identifier] = key
	token := []byte(key)
	_, _ = w.publisher("grant "+record.Identifier).GrantKey(context.Background(), record, token)
	w.record()
}

// withdraw pushes a withdrawal to one node and publishes it or not.
func (w *world) withdraw(identifier string, i int, publish bool) {
	n := w.nodes[i]
	withdrawn, out := n.core.Withdraw(Withdrawal{Identifier: identifier, Token: []byte(w.keys[identifier])})
	if withdrawn {
		n.known[identifier] = true
	}
	w.apply(i, out)
	if publish {
		_, _ = w.publisher("withdraw "+identifier).WithdrawKey(context.Background(), "azul", identifier)
		w.record()
	}
}

type randomReader struct{ *rand.Rand }

func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.Uint32())
	}
	return len(p), nil
}
