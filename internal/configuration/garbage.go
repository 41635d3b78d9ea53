package configuration

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"lovagescale/internal/store"
)

// Collected tells what Collect did.
type Collected struct {
	Removed int `json:"removed"`
	// Kept counts unnamed chunks that a change in progress may still use.
	Kept int `json:"kept"`
}

// Collect removes chunks that the manifest does not name. It costs the store
// one get, one list and one delete for each removed chunk, at most limit.
//
// It is safe beside running changes. A change reads its base manifest, then
// writes each new chunk, then replaces the base. Collect removes a chunk only
// at the store revision that it listed, and only when that is below the
// manifest's. If the chunk were written by a change still in progress, the
// change's base would be older than the manifest, so that the change fails; if
// it is written after the listing, the removal fails.
func (p *Publisher) Collect(ctx context.Context, limit int) (Collected, error) {
	var collected Collected
	current, err := p.Current(ctx)
	if err != nil {
		return collected, err
	}
	entries, err := p.Store.List(ctx, ChunkPrefix)
	if err != nil {
		return collected, err
	}
	named := current.digests()
	for _, entry := range entries {
		if named[strings.TrimPrefix(entry.Key, ChunkPrefix)] {
			continue
		}
		if entry.Revision >= current.StoreRevision || collected.Removed == limit {
			collected.Kept++
			continue
		}
		if err := p.remove(ctx, entry, &collected); err != nil {
			return collected, err
		}
	}
	return collected, nil
}

func (p *Publisher) remove(ctx context.Context, entry store.Entry, collected *Collected) error {
	err := p.Store.Delete(ctx, entry.Key, entry.Revision)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		collected.Kept++
		return nil
	}
	if err == nil {
		collected.Removed++
	}
	return err
}

// maxReplaced bounds the chunks that one change removes after itself.
const maxReplaced = 16

// removeReplaced removes chunks that a change just replaced, by the rule of
// Collect. What it leaves, Collect removes later.
func (p *Publisher) removeReplaced(ctx context.Context, base, current Published) {
	named := current.digests()
	var replaced []string
	for _, digest := range sortedKeys(base.digests()) {
		if !named[digest] && len(replaced) < maxReplaced {
			replaced = append(replaced, digest)
		}
	}
	var collected Collected
	for _, digest := range replaced {
		entry, err := p.Store.Get(ctx, ChunkPrefix+digest)
		if err != nil || entry.Revision >= current.StoreRevision {
			continue
		}
		if p.remove(ctx, entry, &collected) != nil {
			return
		}
	}
}

// Missing returns the digests of a manifest that are not held, in the order of
// their chunks' names.
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

// Recover publishes a manifest that entries have in force on top of an older
// state of the store.
func (p *Publisher) Recover(ctx context.Context, base Published, manifest Manifest, chunks Chunks) (uint64, error) {
	inForce := Published{Manifest: manifest, StoreRevision: base.StoreRevision}
	inForce.Manifest.Chunks = nil // so that every chunk is written
	return p.publish(ctx, inForce, manifest.Chunks, chunks)
}
