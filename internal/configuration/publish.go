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

// Keys of the store.
const (
	ManifestKey = "configuration/manifest"
	ChunkPrefix = "configuration/chunk/"
)

// MaxManifestBytes bounds a manifest, so that it fits the store and a frame.
const MaxManifestBytes = 768 << 10

// listThreshold is the number of missing chunks above which one list of all
// chunks costs the store less than single reads.
const listThreshold = 16

// SupersededError reports that another change took the revision first.
type SupersededError struct {
	Revision uint64
	Author   string
	ChangeID string
}

// Error implements the error interface.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("change %q by %q came first as revision %d", e.ChangeID, e.Author, e.Revision)
}

// NotAppliedError reports a change that did not take effect and cannot take
// effect later.
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

// ManifestTooLargeError reports a text with more entries than a manifest holds.
type ManifestTooLargeError struct{ Bytes int }

// Error implements the error interface.
func (e *ManifestTooLargeError) Error() string {
	return fmt.Sprintf("manifest has %d bytes, above the limit of %d", e.Bytes, MaxManifestBytes)
}

// Published is a manifest with the store revision that wrote it.
type Published struct {
	Manifest      Manifest
	StoreRevision uint64
	// Index holds the digests of the chunks that hold the manifest's names.
	Index []string
}

// digests returns everything that the manifest needs in the store.
func (p Published) digests() map[string]bool {
	named := make(map[string]bool, len(p.Manifest.Chunks)+len(p.Index))
	for _, digest := range p.Manifest.Chunks {
		named[digest] = true
	}
	for _, digest := range p.Index {
		named[digest] = true
	}
	return named
}

// Publisher reads and changes the configuration in the store.
type Publisher struct {
	Store store.Client
	// Author and ChangeID mark the changes.
	Author   string
	ChangeID string
}

// Current returns the manifest in the store; the zero value if there is none.
// It reads again when a change removes what it is reading.
func (p *Publisher) Current(ctx context.Context) (Published, error) {
	var missing *store.NotFoundError
	for attempt := 1; ; attempt++ {
		entry, err := p.Store.Get(ctx, ManifestKey)
		if errors.As(err, &missing) {
			return Published{}, nil
		}
		if err != nil {
			return Published{}, err
		}
		published, err := ReadManifest(ctx, p.Store, entry, make(Chunks))
		if attempt == readAttempts || !errors.As(err, &missing) {
			return published, err
		}
	}
}

// Fetch returns the chunks with the given digests. It costs one call for each,
// or one in all when they are many.
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

// Load returns the configuration of a manifest in the store.
func (p *Publisher) Load(ctx context.Context, published Published) (*Configuration, error) {
	chunks, err := Fetch(ctx, p.Store, Chunks{}.Missing(published.Manifest))
	if err != nil {
		return nil, err
	}
	return Assemble(published.Manifest, chunks)
}

// Apply publishes the text in place of base and returns the new revision. Keys
// of workspaces are kept, those of removed workspaces too. It returns a
// *SupersededError when another change came first, a *NotAppliedError when the
// change did not and cannot take effect, and a *store.OutcomeUnknownError when
// it cannot tell.
func (p *Publisher) Apply(ctx context.Context, base Published, text *Text) (uint64, error) {
	names, chunks, err := text.Compile()
	if err != nil {
		return 0, err
	}
	for name, digest := range base.Manifest.Chunks {
		if strings.HasPrefix(name, chunkKeys+"/") {
			names[name] = digest
		}
	}
	return p.publish(ctx, base, names, chunks)
}

// publish writes the chunks that base does not name, then the manifest.
func (p *Publisher) publish(ctx context.Context, base Published, names map[string]string, chunks Chunks) (uint64, error) {
	change := Change{Revision: base.Manifest.Revision + 1, ChangeID: p.ChangeID, Author: p.Author}
	next := Published{Manifest: base.Manifest.Successor(change, names)}
	content, err := encodeChunk(next.Manifest)
	if err != nil {
		return 0, err
	}
	if len(content) > MaxManifestBytes {
		return 0, &ManifestTooLargeError{Bytes: len(content)}
	}
	index, err := splitIndex(names)
	if err != nil {
		return 0, err
	}
	fresh := maps.Clone(chunks)
	for _, part := range index {
		digest := Digest(part)
		next.Index = append(next.Index, digest)
		fresh[digest] = part
	}
	for digest := range base.digests() {
		delete(fresh, digest)
	}
	for _, digest := range sortedKeys(fresh) {
		if err := p.putChunk(ctx, base, digest, fresh[digest]); err != nil {
			return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
		}
	}
	return p.putManifest(ctx, base, next)
}

// putChunk writes a chunk after the base manifest was read, also when the
// store has it already: the chunk's store revision is then above the base's,
// which keeps Collect from removing it.
func (p *Publisher) putChunk(ctx context.Context, base Published, digest string, content []byte) error {
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
			return nil // written after the base was read, by this change or another
		case errors.As(err, &conflict):
			write.Expect = conflict.Found
		case !errors.As(err, &unknown):
			return err
		}
	}
	return err
}

// putManifest writes the manifest. A lost reply or a conflict is settled by
// reading back the change's own identifier.
func (p *Publisher) putManifest(ctx context.Context, base, next Published) (uint64, error) {
	content, err := next.encodeHead()
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
		p.removeReplaced(ctx, base, next)
		return next.Manifest.Revision, nil
	case errors.As(err, &conflict), errors.As(err, &unknown):
		return p.settle(ctx, base, err)
	default:
		return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
}

// Bounds of the attempts to read a manifest, to write a chunk and to settle a
// lost reply.
const (
	readAttempts   = 5
	writeAttempts  = 5
	settleAttempts = 5
	settlePause    = 200 * time.Millisecond
)

// settle finds out what became of a change. A manifest that still is the base
// is written again unchanged, so that the lost write cannot take effect later.
func (p *Publisher) settle(ctx context.Context, base Published, cause error) (uint64, error) {
	for attempt := 0; attempt < settleAttempts; attempt++ {
		current, err := p.Current(ctx)
		if err == nil && current.StoreRevision != base.StoreRevision {
			return p.judge(base, current, cause)
		}
		if err == nil && p.fence(ctx, base) {
			return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: cause}
		}
		select {
		case <-ctx.Done():
			return 0, cause
		case <-time.After(settlePause):
		}
	}
	return 0, cause
}

// judge tells from a later manifest what became of the change.
func (p *Publisher) judge(base, current Published, cause error) (uint64, error) {
	if own, found := current.Manifest.Find(p.ChangeID); found {
		return own.Revision, nil
	}
	if current.Manifest.Revision > base.Manifest.Revision+recentChanges {
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

// fence writes the base manifest again and reports whether that took effect.
func (p *Publisher) fence(ctx context.Context, base Published) bool {
	if base.StoreRevision == 0 {
		return false
	}
	content, err := base.encodeHead()
	if err != nil {
		return false
	}
	_, err = p.Store.CompareAndSet(ctx, store.Write{Key: ManifestKey, Value: content, Expect: base.StoreRevision})
	return err == nil
}
