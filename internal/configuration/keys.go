package configuration

import (
	"context"
	"fmt"
	"maps"
	"strings"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/store"
	"lovagescale/internal/workspacekey"
)

// TokenPrefix starts the store keys of withdrawal tokens. They are not part of
// any manifest and never reach an entry.
const TokenPrefix = "configuration/withdrawal/"

// MaxTombstones is the number of tombstones kept for each workspace. Older
// ones are dropped; their keys are unknown from then on.
const MaxTombstones = 256

// keyAttempts bounds how often a change of keys starts from a new base.
const keyAttempts = 8

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

// Token is what the store keeps to withdraw a key.
type Token struct {
	Workspace string `msgpack:"w"`
	Token     []byte `msgpack:"t"`
}

// GrantKey publishes the record of a new key and keeps its withdrawal token.
// It starts anew when another change came first, since it concerns the keys of
// one workspace alone. It returns a *WorkspaceUnknownError.
func (p *Publisher) GrantKey(ctx context.Context, record workspacekey.Record, token []byte) (uint64, error) {
	content, err := msgpack.Marshal(Token{Workspace: record.Workspace, Token: token})
	if err != nil {
		return 0, err
	}
	write := store.Write{Key: TokenPrefix + record.Identifier, Value: content}
	if _, err := p.Store.CompareAndSet(ctx, write); err != nil {
		return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	return p.changeKeys(ctx, record.Workspace, func(records []workspacekey.Record) ([]workspacekey.Record, error) {
		return append(records, record.WithToken(token)), nil
	})
}

// WithdrawKey publishes a tombstone for a key of the workspace. It returns a
// *KeyUnknownError.
func (p *Publisher) WithdrawKey(ctx context.Context, workspace, identifier string) (uint64, error) {
	return p.changeKeys(ctx, workspace, func(records []workspacekey.Record) ([]workspacekey.Record, error) {
		return withdraw(records, identifier)
	})
}

// withdraw moves the key's tombstone to the end and drops the oldest
// tombstones above MaxTombstones.
func withdraw(records []workspacekey.Record, identifier string) ([]workspacekey.Record, error) {
	var kept, tombstones []workspacekey.Record
	var withdrawn *workspacekey.Record
	for _, record := range records {
		switch {
		case record.Identifier == identifier:
			tombstone := record.Tombstone()
			withdrawn = &tombstone
		case record.Withdrawn:
			tombstones = append(tombstones, record)
		default:
			kept = append(kept, record)
		}
	}
	if withdrawn == nil {
		return nil, &KeyUnknownError{Identifier: identifier}
	}
	tombstones = append(tombstones, *withdrawn)
	return append(kept, tombstones[max(0, len(tombstones)-MaxTombstones):]...), nil
}

func (p *Publisher) changeKeys(ctx context.Context, workspace string, change func([]workspacekey.Record) ([]workspacekey.Record, error)) (uint64, error) {
	var revision uint64
	var err error
	for attempt := 0; attempt < keyAttempts; attempt++ {
		revision, err = p.changeKeysOnce(ctx, workspace, change)
		var superseded *SupersededError
		var missing *store.NotFoundError
		if !errors.As(err, &superseded) && !errors.As(err, &missing) {
			break
		}
	}
	return revision, err
}

func (p *Publisher) changeKeysOnce(ctx context.Context, workspace string, change func([]workspacekey.Record) ([]workspacekey.Record, error)) (uint64, error) {
	base, err := p.Current(ctx)
	if err != nil {
		return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	name := chunkKeys + "/" + workspace
	_, known := base.Manifest.Chunks[chunkWorkspace+"/"+workspace]
	if _, hasKeys := base.Manifest.Chunks[name]; !known && !hasKeys {
		return 0, &WorkspaceUnknownError{Workspace: workspace}
	}
	records, err := p.Keys(ctx, base, workspace)
	if err != nil {
		return 0, err
	}
	records, err = change(records)
	if err != nil {
		return 0, err
	}
	content, err := encodeChunk(records)
	if err != nil {
		return 0, err
	}
	if len(content) > MaxChunkBytes {
		return 0, &ChunkTooLargeError{Name: name, Bytes: len(content)}
	}
	digest := Digest(content)
	names := maps.Clone(base.Manifest.Chunks)
	names[name] = digest
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

// FindToken returns the workspace of a key and the token that withdraws it. A
// key without a stored token is looked for in the keys of all workspaces and
// has no token. It returns a *KeyUnknownError.
func (p *Publisher) FindToken(ctx context.Context, identifier string) (Token, error) {
	entry, err := p.Store.Get(ctx, TokenPrefix+identifier)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return p.findWorkspace(ctx, identifier)
	}
	if err != nil {
		return Token{}, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	var token Token
	if err := msgpack.Unmarshal(entry.Value, &token); err != nil {
		return Token{}, &ChunkMalformedError{Name: TokenPrefix + identifier, Cause: err}
	}
	return token, nil
}

func (p *Publisher) findWorkspace(ctx context.Context, identifier string) (Token, error) {
	base, err := p.Current(ctx)
	if err != nil {
		return Token{}, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	for _, name := range sortedKeys(base.Manifest.Chunks) {
		workspace, isKeys := strings.CutPrefix(name, chunkKeys+"/")
		if !isKeys {
			continue
		}
		records, err := p.Keys(ctx, base, workspace)
		if err != nil {
			return Token{}, err
		}
		for _, record := range records {
			if record.Identifier == identifier {
				return Token{Workspace: workspace}, nil
			}
		}
	}
	return Token{}, &KeyUnknownError{Identifier: identifier}
}
