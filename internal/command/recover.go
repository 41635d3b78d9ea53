package command

import (
	"context"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/spread"
)

// Recover is "lovagectl recover".
type Recover struct{}

// Run writes the highest revision that an entry has in force back to a store
// that lost it. Keys keep their withdrawals.
func (r *Recover) Run(e *Environment) error {
	ctx := context.Background()
	instances, err := e.list().Instances(ctx)
	if err != nil {
		return err
	}
	var source instancelist.Instance
	var best uint64
	for _, a := range askAll[spread.StatusReply](ctx, instances, spread.TypeStatus, struct{}{}) {
		if a.Err == nil && a.Reply.Revision > best {
			source, best = a.Instance, a.Reply.Revision
		}
	}
	p := e.publisher()
	base, err := p.Current(ctx)
	if err != nil {
		return err
	}
	if best <= base.Manifest.Revision {
		return e.print(applied{Revision: base.Manifest.Revision}, "store has revision %d, no entry a higher one", base.Manifest.Revision)
	}
	manifest, chunks, err := download(ctx, source)
	if err != nil {
		return err
	}
	revision, err := p.Recover(ctx, base, manifest, chunks)
	if err != nil {
		return err
	}
	return e.print(applied{Revision: revision, ChangeID: p.ChangeID},
		"recovered revision %d from instance %s as revision %d", manifest.Revision, source.ID, revision)
}

// download pulls a whole configuration from an entry.
func download(ctx context.Context, source instancelist.Instance) (configuration.Manifest, configuration.Chunks, error) {
	var request spread.PullRequest
	var manifest configuration.Manifest
	chunks := make(configuration.Chunks)
	for {
		a := askAll[spread.PullReply](ctx, []instancelist.Instance{source}, spread.TypePull, request)[0]
		if a.Err != nil {
			return manifest, nil, a.Err
		}
		if manifest.Revision == 0 {
			manifest = a.Reply.Manifest
			manifest.Chunks = a.Reply.ChunkDigests
		}
		had := len(chunks)
		for digest, content := range a.Reply.Chunks {
			chunks[digest] = content
		}
		request.WantChunks = chunks.Missing(manifest)
		if len(request.WantChunks) == 0 {
			return manifest, chunks, nil
		}
		if len(chunks) == had && had > 0 {
			return manifest, nil, &configuration.ChunkMissingError{Name: "of instance " + source.ID, Digest: request.WantChunks[0]}
		}
	}
}
