package command

import (
	"context"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/spread"
)

// Recover is "lovagectl recover".
type Recover struct{}

// Run writes the highest revision that is active on an entry instance back to a store that
// lost it. Withdrawn keys stay withdrawn.
func (r *Recover) Run(e *Environment) error {
	ctx := context.Background()
	instances, err := e.instanceList().Instances(ctx)
	if err != nil {
		return err
	}
	var source instancelist.Instance
	var highest uint64
	for _, result := range queryInstances[spread.StatusReply](ctx, instances, spread.TypeStatus, struct{}{}) {
		if result.Err == nil && result.Reply.Revision > highest {
			source, highest = result.Instance, result.Reply.Revision
		}
	}
	p := e.publisher()
	base, err := p.Current(ctx)
	if err != nil {
		return err
	}
	if highest <= base.Manifest.Revision {
		return e.print(applyResult{Revision: base.Manifest.Revision}, "store has revision %d, no entry a higher one", base.Manifest.Revision)
	}
	manifest, chunks, err := pullConfiguration(ctx, source)
	if err != nil {
		return err
	}
	revision, err := p.Recover(ctx, base, manifest, chunks)
	if err != nil {
		return err
	}
	return e.print(applyResult{Revision: revision, ChangeID: p.ChangeID},
		"recovered revision %d from instance %s as revision %d", manifest.Revision, source.ID, revision)
}

// pullConfiguration pulls the manifest and all chunks from an entry instance, in as many
// requests as that takes.
func pullConfiguration(ctx context.Context, source instancelist.Instance) (configuration.Manifest, configuration.Chunks, error) {
	var request spread.PullRequest
	var manifest configuration.Manifest
	chunks := make(configuration.Chunks)
	for {
		result := queryInstances[spread.PullReply](ctx, []instancelist.Instance{source}, spread.TypePull, request)[0]
		if result.Err != nil {
			return manifest, nil, result.Err
		}
		if manifest.Revision == 0 {
			manifest = result.Reply.Manifest
			manifest.Chunks = result.Reply.ChunkDigests
		}
		chunksBefore := len(chunks)
		for digest, content := range result.Reply.Chunks {
			chunks[digest] = content
		}
		request.WantChunks = chunks.Missing(manifest)
		if len(request.WantChunks) == 0 {
			return manifest, chunks, nil
		}
		if len(chunks) == chunksBefore && chunksBefore > 0 {
			return manifest, nil, &configuration.ChunkMissingError{Name: "of instance " + source.ID, Digest: request.WantChunks[0]}
		}
	}
}
