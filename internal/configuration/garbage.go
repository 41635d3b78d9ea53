package configuration

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"lovagescale/internal/store"
)

// CollectionResult counts the unreferenced chunks that CollectGarbage handled.
type CollectionResult struct {
	Removed int `json:"removed"`
	// Kept counts the chunks that were left in the store: those that a change in
	// progress may still use, and those above the limit.
	Kept int `json:"kept"`
}

// CollectGarbage removes chunks that the manifest does not reference, at most limit
// of them. It reads the manifest, lists all chunks once and sends one delete for
// each removed chunk.
//
// It is safe while changes are in progress. A change reads its base manifest, then
// writes each new chunk, then replaces the base. CollectGarbage deletes a chunk only
// at the store revision that it listed, and only if that revision is below the one
// of the manifest. If a change still in progress had written the chunk, the base of
// that change would be older than the manifest, so that the change fails. If the
// chunk is written again after the listing, the delete fails.
func (p *Publisher) CollectGarbage(ctx context.Context, limit int) (CollectionResult, error) {
	var result CollectionResult
	current, err := p.Current(ctx)
	if err != nil {
		return result, err
	}
	entries, err := p.Store.List(ctx, ChunkPrefix)
	if err != nil {
		return result, err
	}
	referenced := current.referencedDigests()
	for _, entry := range entries {
		if referenced[strings.TrimPrefix(entry.Key, ChunkPrefix)] {
			continue
		}
		if entry.Revision >= current.StoreRevision || result.Removed == limit {
			result.Kept++
			continue
		}
		if err := p.removeChunk(ctx, entry, &result); err != nil {
			return result, err
		}
	}
	return result, nil
}

// removeChunk deletes a chunk at the store revision of entry and counts it. A chunk
// that has been written since is kept.
func (p *Publisher) removeChunk(ctx context.Context, entry store.Entry, result *CollectionResult) error {
	err := p.Store.Delete(ctx, entry.Key, entry.Revision)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		result.Kept++
		return nil
	}
	if err == nil {
		result.Removed++
	}
	return err
}

// maxReplacedRemovals limits the replaced chunks that one change removes.
const maxReplacedRemovals = 16

// removeReplacedChunks removes chunks that a change has just replaced, under the
// same conditions as CollectGarbage, which removes the remaining ones later.
func (p *Publisher) removeReplacedChunks(ctx context.Context, base, current PublishedManifest) {
	referenced := current.referencedDigests()
	var replaced []string
	for _, digest := range sortedKeys(base.referencedDigests()) {
		if !referenced[digest] && len(replaced) < maxReplacedRemovals {
			replaced = append(replaced, digest)
		}
	}
	var result CollectionResult
	for _, digest := range replaced {
		entry, err := p.Store.Get(ctx, ChunkPrefix+digest)
		if err != nil || entry.Revision >= current.StoreRevision {
			continue
		}
		if p.removeChunk(ctx, entry, &result) != nil {
			return
		}
	}
}

// Missing returns the digests of a manifest that c does not contain, in the order
// of their chunk names.
func (c Chunks) Missing(manifest Manifest) []string {
	var missing []string
	seen := make(map[string]bool)
	for _, name := range sortedKeys(manifest.Chunks) {
		digest := manifest.Chunks[name]
		if _, held := c[digest]; !held && !seen[digest] {
			seen[digest] = true
			missing = append(missing, digest)
		}
	}
	return missing
}

// Recover publishes the manifest of a running entry instance in place of base. It
// is used after the store has been restored to an older state. chunks must hold
// all chunks of the manifest, because each of them is written again.
func (p *Publisher) Recover(ctx context.Context, base PublishedManifest, manifest Manifest, chunks Chunks) (uint64, error) {
	published := PublishedManifest{Manifest: manifest, StoreRevision: base.StoreRevision}
	published.Manifest.Chunks = nil // so that every chunk is written
	return p.publish(ctx, published, manifest.Chunks, chunks)
}
