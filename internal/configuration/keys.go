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

// WithdrawalTokenPrefix is the prefix of the store keys of withdrawal tokens. The
// tokens are not part of any manifest, so entry instances never receive them.
const WithdrawalTokenPrefix = "configuration/withdrawal/"

// MaxTombstones is the number of tombstones kept for each workspace. The oldest
// ones above it are dropped; their keys are then unknown instead of withdrawn.
const MaxTombstones = 256

// keyChangeAttempts limits how often a change of keys is attempted, each time from
// the current manifest.
const keyChangeAttempts = 8

// KeyUnknownError reports a key identifier without a record.
type KeyUnknownError struct{ Identifier string }

// Error implements the error interface.
func (e *KeyUnknownError) Error() string {
	return fmt.Sprintf("key %q does not exist", e.Identifier)
}

// WorkspaceUnknownError reports a workspace that is not in the manifest.
type WorkspaceUnknownError struct{ Workspace string }

// Error implements the error interface.
func (e *WorkspaceUnknownError) Error() string {
	return fmt.Sprintf("workspace %q does not exist in the configuration", e.Workspace)
}

// WithdrawalToken is the value stored under WithdrawalTokenPrefix for a key: its
// workspace and the token that proves the right to withdraw it.
type WithdrawalToken struct {
	Workspace string `msgpack:"w"`
	Token     []byte `msgpack:"t"`
}

// GrantKey stores the withdrawal token of a new key and publishes the record of the
// key. If another change was published first, it tries again from the new
// manifest, because it only affects the keys of one workspace. It returns a
// *WorkspaceUnknownError.
func (p *Publisher) GrantKey(ctx context.Context, record workspacekey.Record, token []byte) (uint64, error) {
	content, err := msgpack.Marshal(WithdrawalToken{Workspace: record.Workspace, Token: token})
	if err != nil {
		return 0, err
	}
	write := store.Write{Key: WithdrawalTokenPrefix + record.Identifier, Value: content}
	if _, err := p.Store.CompareAndSet(ctx, write); err != nil {
		return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	return p.changeKeys(ctx, record.Workspace, func(records []workspacekey.Record) ([]workspacekey.Record, error) {
		return append(records, record.WithWithdrawalToken(token)), nil
	})
}

// WithdrawKey publishes a tombstone for a key of the workspace, with the same
// retries as GrantKey. It returns a *KeyUnknownError.
func (p *Publisher) WithdrawKey(ctx context.Context, workspace, identifier string) (uint64, error) {
	return p.changeKeys(ctx, workspace, func(records []workspacekey.Record) ([]workspacekey.Record, error) {
		return withdrawRecord(records, identifier)
	})
}

// withdrawRecord replaces the record of a key by a tombstone. The result holds the
// active records, then the tombstones from the oldest withdrawal to the newest, of
// which it drops the oldest above MaxTombstones.
func withdrawRecord(records []workspacekey.Record, identifier string) ([]workspacekey.Record, error) {
	var active, tombstones []workspacekey.Record
	var withdrawn *workspacekey.Record
	for _, record := range records {
		switch {
		case record.Identifier == identifier:
			tombstone := record.Tombstone()
			withdrawn = &tombstone
		case record.Withdrawn:
			tombstones = append(tombstones, record)
		default:
			active = append(active, record)
		}
	}
	if withdrawn == nil {
		return nil, &KeyUnknownError{Identifier: identifier}
	}
	tombstones = append(tombstones, *withdrawn)
	return append(active, tombstones[max(0, len(tombstones)-MaxTombstones):]...), nil
}

// changeKeys publishes the updated records of a workspace. It tries again if
// another change was published first or removed a chunk that is being read.
func (p *Publisher) changeKeys(ctx context.Context, workspace string, update func([]workspacekey.Record) ([]workspacekey.Record, error)) (uint64, error) {
	var revision uint64
	var err error
	for attempt := 0; attempt < keyChangeAttempts; attempt++ {
		revision, err = p.changeKeysOnce(ctx, workspace, update)
		var superseded *SupersededError
		var missing *store.NotFoundError
		if !errors.As(err, &superseded) && !errors.As(err, &missing) {
			break
		}
	}
	return revision, err
}

// changeKeysOnce publishes the updated records on top of the current manifest. It
// accepts a workspace that is not in the text any more but still has keys.
func (p *Publisher) changeKeysOnce(ctx context.Context, workspace string, update func([]workspacekey.Record) ([]workspacekey.Record, error)) (uint64, error) {
	base, err := p.Current(ctx)
	if err != nil {
		return 0, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	chunkName := chunkKeys + "/" + workspace
	_, known := base.Manifest.Chunks[chunkWorkspace+"/"+workspace]
	if _, hasKeys := base.Manifest.Chunks[chunkName]; !known && !hasKeys {
		return 0, &WorkspaceUnknownError{Workspace: workspace}
	}
	records, err := p.Keys(ctx, base, workspace)
	if err != nil {
		return 0, err
	}
	records, err = update(records)
	if err != nil {
		return 0, err
	}
	content, err := encodeChunk(records)
	if err != nil {
		return 0, err
	}
	if len(content) > MaxChunkBytes {
		return 0, &ChunkTooLargeError{Name: chunkName, Bytes: len(content)}
	}
	digest := Digest(content)
	digests := maps.Clone(base.Manifest.Chunks)
	digests[chunkName] = digest
	return p.publish(ctx, base, digests, Chunks{digest: content})
}

// Keys returns the key records of a workspace, including withdrawn ones.
func (p *Publisher) Keys(ctx context.Context, base PublishedManifest, workspace string) ([]workspacekey.Record, error) {
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

// FindWithdrawalToken returns the workspace of a key and the token that permits its
// withdrawal. If the store has no token for the key, it searches the keys of all
// workspaces and returns the workspace without a token. It returns a
// *KeyUnknownError.
func (p *Publisher) FindWithdrawalToken(ctx context.Context, identifier string) (WithdrawalToken, error) {
	entry, err := p.Store.Get(ctx, WithdrawalTokenPrefix+identifier)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return p.findKeyWorkspace(ctx, identifier)
	}
	if err != nil {
		return WithdrawalToken{}, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	var token WithdrawalToken
	if err := msgpack.Unmarshal(entry.Value, &token); err != nil {
		return WithdrawalToken{}, &ChunkMalformedError{Name: WithdrawalTokenPrefix + identifier, Cause: err}
	}
	return token, nil
}

// findKeyWorkspace searches the keys of all workspaces for the identifier.
func (p *Publisher) findKeyWorkspace(ctx context.Context, identifier string) (WithdrawalToken, error) {
	base, err := p.Current(ctx)
	if err != nil {
		return WithdrawalToken{}, &NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	for _, name := range sortedKeys(base.Manifest.Chunks) {
		workspace, isKeys := strings.CutPrefix(name, chunkKeys+"/")
		if !isKeys {
			continue
		}
		records, err := p.Keys(ctx, base, workspace)
		if err != nil {
			return WithdrawalToken{}, err
		}
		for _, record := range records {
			if record.Identifier == identifier {
				return WithdrawalToken{Workspace: workspace}, nil
			}
		}
	}
	return WithdrawalToken{}, &KeyUnknownError{Identifier: identifier}
}
