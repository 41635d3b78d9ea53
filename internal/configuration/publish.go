package configuration

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"
	"lovagescale/internal/store"
)

const (
	// ManifestKey is the store key of the manifest header.
	ManifestKey = "configuration/manifest"
	// ChunkPrefix and the digest of a chunk form its store key.
	ChunkPrefix = "configuration/chunk/"
)

// MaxManifestBytes limits the size of an encoded manifest, so that it fits into a
// store value and into a frame of the link protocol.
const MaxManifestBytes = 768 << 10

// listThreshold is the number of chunks to fetch above which listing all chunks
// once costs the store less than reading them one by one.
const listThreshold = 16

// SupersededError reports that another change was published on the same base
// first. Its fields describe the current manifest.
type SupersededError struct {
	Revision uint64
	Author   string
	ChangeID string
}

// Error implements the error interface.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("change %q by %q came first as revision %d", e.ChangeID, e.Author, e.Revision)
}

// NotAppliedError reports a change that has not taken effect and cannot take effect
// later.
type NotAppliedError struct {
	ChangeID string
	Cause    error
}

// Error implements the error interface.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("change %q is not applied: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Cause }

// ManifestTooLargeError reports a text with so many tables that its manifest
// exceeds MaxManifestBytes.
type ManifestTooLargeError struct{ Bytes int }

// Error implements the error interface.
func (e *ManifestTooLargeError) Error() string {
	return fmt.Sprintf("manifest has %d bytes, above the limit of %d", e.Bytes, MaxManifestBytes)
}

// PublishedManifest is a manifest in the store and the store revision of its header.
type PublishedManifest struct {
	Manifest      Manifest
	StoreRevision uint64
	// Index holds the digests of the manifest's index chunks.
	Index []string
}

// referencedDigests returns the digests of all chunks and index chunks that the
// manifest needs in the store.
func (p PublishedManifest) referencedDigests() map[string]bool {
	referenced := make(map[string]bool, len(p.Manifest.Chunks)+len(p.Index))
	for _, digest := range p.Manifest.Chunks {
		referenced[digest] = true
	}
	for _, digest := range p.Index {
		referenced[digest] = true
	}
	return referenced
}

// Publisher reads and changes the configuration in the store.
type Publisher struct {
	Store store.Client
	// Author and ChangeID are recorded in the manifest of each change.
	Author   string
	ChangeID string
}

// Current returns the manifest in the store, or the zero value if there is none.
// It starts over if a concurrent change removes an index chunk that it is reading.
func (p *Publisher) Current(ctx context.Context) (PublishedManifest, error) {
	var missing *store.NotFoundError
	for attempt := 1; ; attempt++ {
		entry, err := p.Store.Get(ctx, ManifestKey)
		if errors.As(err, &missing) {
			return PublishedManifest{}, nil
		}
		if err != nil {
			return PublishedManifest{}, err
		}
		published, err := ReadManifest(ctx, p.Store, entry, make(Chunks))
		if attempt == readAttempts || !errors.As(err, &missing) {
			return published, err
		}
	}
}

// Fetch returns the chunks with the given digests. It reads them one by one, or
// lists all chunks with a single call if there are more than listThreshold.
func Fetch(ctx context.Context, client store.Client, digests []string) (Chunks, error) {
	if len(digests) > listThreshold {
		return listChunks(ctx, client, digests)
	}
	fetched := make(Chunks, len(digests))
	for _, digest := range digests {
		entry, err := client.Get(ctx, ChunkPrefix+digest)
		if err != nil {
			return nil, err
		}
		fetched[digest] = entry.Value
	}
	return fetched, nil
}

// listChunks returns the chunks with the given digests by listing all chunks.
func listChunks(ctx context.Context, client store.Client, digests []string) (Chunks, error) {
	entries, err := client.List(ctx, ChunkPrefix)
	if err != nil {
		return nil, err
	}
	listed := make(Chunks, len(entries))
	for _, entry := range entries {
		listed[strings.TrimPrefix(entry.Key, ChunkPrefix)] = entry.Value
	}
	fetched := make(Chunks, len(digests))
	for _, digest := range digests {
		content, found := listed[digest]
		if !found {
			return nil, &store.NotFoundError{Key: ChunkPrefix + digest}
		}
		fetched[digest] = content
	}
	return fetched, nil
}

// Load fetches the chunks of a manifest and returns its configuration.
func (p *Publisher) Load(ctx context.Context, published PublishedManifest) (*Configuration, error) {
	chunks, err := Fetch(ctx, p.Store, Chunks{}.Missing(published.Manifest))
	if err != nil {
		return nil, err
	}
	return Assemble(published.Manifest, chunks)
}

// Apply publishes the text in place of base and returns the new revision. It keeps
// the keys of all workspaces, including removed ones. It returns a *SupersededError
// if another change was published first, a *NotAppliedError if the change has not
// taken effect and cannot do so later, and a *store.OutcomeUnknownError if it
// cannot determine the outcome.
func (p *Publisher) Apply(ctx context.Context, base PublishedManifest, text *Text) (uint64, error) {
	digests, chunks, err := text.Compile()
	if err != nil {
		return 0, err
	}
	for name, digest := range base.Manifest.Chunks {
		if strings.HasPrefix(name, chunkKeys+"/") {
			digests[name] = digest
		}
	}
	return p.publish(ctx, base, digests, chunks)
}

// publish writes the chunks and index chunks that base does not reference, then the
// manifest header.
func (p *Publisher) publish(ctx context.Context, base PublishedManifest, digests map[string]string, chunks Chunks) (uint64, error) {
	change := Change{Revision: base.Manifest.Revision + 1, ChangeID: p.ChangeID, Author: p.Author}
	next := PublishedManifest{Manifest: base.Manifest.Successor(change, digests)}
	content, err := encodeChunk(next.Manifest)
	if err != nil {
		return 0, err
	}
	if len(content) > MaxManifestBytes {
		return 0, &ManifestTooLargeError{Bytes: len(content)}
	}
	index, err := encodeIndex(digests)
	if err != nil {
		return 0, err
	}
	newChunks := maps.Clone(chunks)
	for _, indexChunk := range index {
		digest := Digest(indexChunk)
		next.Index = append(next.Index, digest)
		newChunks[digest] = indexChunk
	}
	for digest := range base.referencedDigests() {
		delete(newChunks, digest)
	}
	for _, digest := range sortedKeys(newChunks) {
		if err := p.putChunk(ctx, base, digest, newChunks[digest]); err != nil {
			return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
		}
	}
	return p.putManifest(ctx, base, next)
}

// putChunk writes a chunk even if the store already has it. Its store revision is
// then above that of the base manifest, which keeps CollectGarbage from removing it
// before the change is published.
func (p *Publisher) putChunk(ctx context.Context, base PublishedManifest, digest string, content []byte) error {
	var err error
	write := store.Write{Key: ChunkPrefix + digest, Value: content}
	for attempt := 0; attempt < writeAttempts; attempt++ {
		_, err = p.Store.CompareAndSet(ctx, write)
		var conflict *store.ConflictError
		var unknown *store.OutcomeUnknownError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict) && conflict.Found > base.StoreRevision:
			return nil // written after the base manifest, by this change or another
		case errors.As(err, &conflict):
			write.Expect = conflict.Found
		case !errors.As(err, &unknown):
			return err
		}
	}
	return err
}

// putManifest writes the manifest header. After a conflict or a lost reply it
// determines the outcome by looking for the change in the current manifest.
func (p *Publisher) putManifest(ctx context.Context, base, next PublishedManifest) (uint64, error) {
	content, err := next.encodeHeader()
	if err != nil {
		return 0, err
	}
	write := store.Write{Key: ManifestKey, Value: content, Expect: base.StoreRevision}
	written, err := p.Store.CompareAndSet(ctx, write)
	var conflict *store.ConflictError
	var unknown *store.OutcomeUnknownError
	switch {
	case err == nil:
		next.StoreRevision = written
		p.removeReplacedChunks(ctx, base, next)
		return next.Manifest.Revision, nil
	case errors.As(err, &conflict), errors.As(err, &unknown):
		return p.resolveOutcome(ctx, base, err)
	default:
		return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
}

// Limits on the attempts to read a manifest, to write a chunk and to resolve the
// outcome of a change. Attempts to resolve the outcome are resolveInterval apart.
const (
	readAttempts    = 5
	writeAttempts   = 5
	resolveAttempts = 5
	resolveInterval = 200 * time.Millisecond
)

// resolveOutcome determines whether a change has taken effect after its write got a
// conflict or no reply. If the manifest is still the base, it writes the base again
// unchanged: the new store revision makes the lost write fail if it arrives later.
func (p *Publisher) resolveOutcome(ctx context.Context, base PublishedManifest, cause error) (uint64, error) {
	for attempt := 0; attempt < resolveAttempts; attempt++ {
		current, err := p.Current(ctx)
		if err == nil && current.StoreRevision != base.StoreRevision {
			return p.outcomeFrom(base, current, cause)
		}
		if err == nil && p.rewriteBase(ctx, base) {
			return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: cause}
		}
		select {
		case <-ctx.Done():
			return 0, cause
		case <-time.After(resolveInterval):
		}
	}
	return 0, cause
}

// outcomeFrom determines the outcome of a change from a manifest that was written
// after base. The outcome is unknown if so many changes have followed that the
// manifest may not list this one any more.
func (p *Publisher) outcomeFrom(base, current PublishedManifest, cause error) (uint64, error) {
	if own, found := current.Manifest.FindChange(p.ChangeID); found {
		return own.Revision, nil
	}
	if current.Manifest.Revision > base.Manifest.Revision+maxRecentChanges {
		return 0, &store.OutcomeUnknownError{Operation: "change " + p.ChangeID, Cause: cause}
	}
	if current.Manifest.Revision <= base.Manifest.Revision {
		return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: cause}
	}
	return 0, &SupersededError{
		Revision: current.Manifest.Revision,
		Author:   current.Manifest.Author,
		ChangeID: current.Manifest.ChangeID,
	}
}

// rewriteBase writes the header of the base manifest again, which invalidates any
// write that expects the old store revision. It reports whether that succeeded.
func (p *Publisher) rewriteBase(ctx context.Context, base PublishedManifest) bool {
	if base.StoreRevision == 0 {
		return false
	}
	content, err := base.encodeHeader()
	if err != nil {
		return false
	}
	_, err = p.Store.CompareAndSet(ctx, store.Write{Key: ManifestKey, Value: content, Expect: base.StoreRevision})
	return err == nil
}
