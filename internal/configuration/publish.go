package configuration

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/store"
	"lovagescale/internal/workspacekey"
)

// Keys of the store.
const (
	ManifestKey = "configuration/manifest"
	ChunkPrefix = "configuration/chunk/"
)

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

// KeyUnknownError reports a key identifier that no workspace has.
type KeyUnknownError struct{ Identifier string }

// Error implements the error interface.
func (e *KeyUnknownError) Error() string {
	return fmt.Sprintf("key %q does not exist", e.Identifier)
}

// WorkspaceUnknownError reports a workspace that the text does not list.
type WorkspaceUnknownError struct{ Workspace string }

// Error implements the error interface.
func (e *WorkspaceUnknownError) Error() string {
	return fmt.Sprintf("workspace %q does not exist in the configuration", e.Workspace)
}

// Published is a manifest with the store revision that wrote it.
type Published struct {
	Manifest      Manifest
	StoreRevision uint64
}

// Publisher reads and changes the configuration in the store.
type Publisher struct {
	Store store.Client
	// Author and ChangeID mark the changes.
	Author   string
	ChangeID string
}

// Current returns the manifest in the store; the zero value if there is none.
func (p *Publisher) Current(ctx context.Context) (Published, error) {
	entry, err := p.Store.Get(ctx, ManifestKey)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return Published{}, nil
	}
	if err != nil {
		return Published{}, err
	}
	return DecodePublished(entry)
}

// DecodePublished reads the manifest's entry of the store.
func DecodePublished(entry store.Entry) (Published, error) {
	var manifest Manifest
	if err := msgpack.Unmarshal(entry.Value, &manifest); err != nil {
		return Published{}, &ChunkMalformedError{Name: ManifestKey, Cause: err}
	}
	return Published{Manifest: manifest, StoreRevision: entry.Revision}, nil
}

// FetchChunks adds the chunks of a manifest that known lacks.
func FetchChunks(ctx context.Context, client store.Client, manifest Manifest, known Chunks) error {
	for _, digest := range manifest.Chunks {
		if _, have := known[digest]; have {
			continue
		}
		entry, err := client.Get(ctx, ChunkPrefix+digest)
		if err != nil {
			return err
		}
		known[digest] = entry.Value
	}
	return nil
}

// Apply publishes the text in place of base and returns the new revision. Keys
// of workspaces are kept. It returns a *SupersededError when another change
// came first, and an error of package store when it cannot tell.
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

// PutKey adds or replaces one key record of a workspace.
func (p *Publisher) PutKey(ctx context.Context, base Published, record workspacekey.Record) (uint64, error) {
	if _, known := base.Manifest.Chunks[chunkWorkspace+"/"+record.Workspace]; !known {
		return 0, &WorkspaceUnknownError{Workspace: record.Workspace}
	}
	records, err := p.Keys(ctx, base, record.Workspace)
	if err != nil {
		return 0, err
	}
	replaced := false
	for i := range records {
		if records[i].Identifier == record.Identifier {
			records[i] = record
			replaced = true
		}
	}
	if !replaced {
		records = append(records, record)
	}
	content, err := encodeChunk(records)
	if err != nil {
		return 0, err
	}
	digest := Digest(content)
	names := maps.Clone(base.Manifest.Chunks)
	names[chunkKeys+"/"+record.Workspace] = digest
	return p.publish(ctx, base, names, Chunks{digest: content})
}

// Keys returns the key records of a workspace, withdrawn ones included.
func (p *Publisher) Keys(ctx context.Context, base Published, workspace string) ([]workspacekey.Record, error) {
	digest, found := base.Manifest.Chunks[chunkKeys+"/"+workspace]
	if !found {
		return nil, nil
	}
	entry, err := p.Store.Get(ctx, ChunkPrefix+digest)
	if err != nil {
		return nil, err
	}
	var records []workspacekey.Record
	if err := msgpack.Unmarshal(entry.Value, &records); err != nil {
		return nil, &ChunkMalformedError{Name: chunkKeys + "/" + workspace, Cause: err}
	}
	return records, nil
}

// FindKey returns the record with the identifier. It returns a
// *KeyUnknownError.
func (p *Publisher) FindKey(ctx context.Context, base Published, identifier string) (workspacekey.Record, error) {
	for _, name := range sortedKeys(base.Manifest.Chunks) {
		workspace, isKeys := strings.CutPrefix(name, chunkKeys+"/")
		if !isKeys {
			continue
		}
		records, err := p.Keys(ctx, base, workspace)
		if err != nil {
			return workspacekey.Record{}, err
		}
		for _, record := range records {
			if record.Identifier == identifier {
				return record, nil
			}
		}
	}
	return workspacekey.Record{}, &KeyUnknownError{Identifier: identifier}
}

func (p *Publisher) publish(ctx context.Context, base Published, names map[string]string, chunks Chunks) (uint64, error) {
	known := make(map[string]bool, len(base.Manifest.Chunks))
	for _, digest := range base.Manifest.Chunks {
		known[digest] = true
	}
	for digest, content := range chunks {
		if known[digest] {
			continue
		}
		if err := p.putChunk(ctx, digest, content); err != nil {
			return 0, err
		}
	}
	manifest := Manifest{
		Revision: base.Manifest.Revision + 1,
		ChangeID: p.ChangeID,
		Author:   p.Author,
		Chunks:   names,
	}
	return p.putManifest(ctx, base, manifest)
}

// putChunk writes a chunk once; one that exists already has the same content.
func (p *Publisher) putChunk(ctx context.Context, digest string, content []byte) error {
	_, err := p.Store.CompareAndSet(ctx, store.Write{Key: ChunkPrefix + digest, Value: content})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	var unknown *store.OutcomeUnknownError
	if errors.As(err, &unknown) {
		_, err = p.Store.Get(ctx, ChunkPrefix+digest)
	}
	return err
}

// putManifest writes the manifest. A lost reply or a conflict is settled by
// reading back the change's own identifier.
func (p *Publisher) putManifest(ctx context.Context, base Published, manifest Manifest) (uint64, error) {
	content, err := encodeChunk(manifest)
	if err != nil {
		return 0, err
	}
	write := store.Write{Key: ManifestKey, Value: content, Expect: base.StoreRevision}
	_, err = p.Store.CompareAndSet(ctx, write)
	var conflict *store.ConflictError
	var unknown *store.OutcomeUnknownError
	switch {
	case err == nil:
		return manifest.Revision, nil
	case errors.As(err, &conflict), errors.As(err, &unknown):
		return p.settle(ctx, base, manifest, err)
	default:
		return 0, err
	}
}

// settleAttempts and settlePause bound the reads that settle a lost reply.
const (
	settleAttempts = 5
	settlePause    = 200 * time.Millisecond
)

func (p *Publisher) settle(ctx context.Context, base Published, manifest Manifest, cause error) (uint64, error) {
	for attempt := 0; attempt < settleAttempts; attempt++ {
		current, err := p.Current(ctx)
		if err == nil && current.Manifest.ChangeID == manifest.ChangeID {
			return current.Manifest.Revision, nil
		}
		if err == nil && current.StoreRevision != base.StoreRevision {
			return 0, &SupersededError{
				Revision: current.Manifest.Revision,
				Author:   current.Manifest.Author,
				ChangeID: current.Manifest.ChangeID,
			}
		}
		select {
		case <-ctx.Done():
			return 0, cause
		case <-time.After(settlePause):
		}
	}
	return 0, cause
}
