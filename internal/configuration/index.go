package configuration

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/store"
)

// namesPerPart is the most names that a part of the index holds on average, so
// that a change writes and reads a few kilobytes whatever the manifest's size.
const namesPerPart = 64

// head is what the store has under ManifestKey. The names of the chunks are in
// index chunks of their own.
type head struct {
	Revision uint64   `msgpack:"r"`
	ChangeID string   `msgpack:"c"`
	Author   string   `msgpack:"a"`
	Recent   []Change `msgpack:"p"`
	Index    []string `msgpack:"i"`
}

func (p Published) encodeHead() ([]byte, error) {
	return encodeChunk(head{
		Revision: p.Manifest.Revision,
		ChangeID: p.Manifest.ChangeID,
		Author:   p.Manifest.Author,
		Recent:   p.Manifest.Recent,
		Index:    p.Index,
	})
}

// splitIndex spreads the names over parts by their hash. The number of parts
// is a power of two, so that it seldom changes.
func splitIndex(names map[string]string) ([][]byte, error) {
	parts := 1
	for parts*namesPerPart < len(names) {
		parts *= 2
	}
	split := make([]map[string]string, parts)
	for i := range split {
		split[i] = make(map[string]string)
	}
	for name, digest := range names {
		split[xxhash.Sum64String(name)%uint64(parts)][name] = digest
	}
	encoded := make([][]byte, parts)
	for i, part := range split {
		content, err := encodeChunk(part)
		if err != nil {
			return nil, err
		}
		encoded[i] = content
	}
	return encoded, nil
}

// ReadManifest reads the manifest of an entry of ManifestKey. Parts holds the
// index chunks of an earlier read and those of this one afterwards, so that a
// reader fetches the changed ones only.
func ReadManifest(ctx context.Context, client store.Client, entry store.Entry, parts Chunks) (Published, error) {
	var h head
	if err := msgpack.Unmarshal(entry.Value, &h); err != nil {
		return Published{}, &ChunkMalformedError{Name: ManifestKey, Cause: err}
	}
	if err := fetchParts(ctx, client, h.Index, parts); err != nil {
		return Published{}, err
	}
	names := make(map[string]string)
	for _, digest := range h.Index {
		if err := msgpack.Unmarshal(parts[digest], &names); err != nil {
			return Published{}, &ChunkMalformedError{Name: ManifestKey, Cause: err}
		}
	}
	manifest := Manifest{Revision: h.Revision, ChangeID: h.ChangeID, Author: h.Author, Chunks: names, Recent: h.Recent}
	return Published{Manifest: manifest, StoreRevision: entry.Revision, Index: h.Index}, nil
}

func fetchParts(ctx context.Context, client store.Client, index []string, parts Chunks) error {
	named := make(map[string]bool, len(index))
	var missing []string
	for _, digest := range index {
		named[digest] = true
		if _, held := parts[digest]; !held {
			missing = append(missing, digest)
		}
	}
	fetched, err := Fetch(ctx, client, missing)
	if err != nil {
		return err
	}
	for digest := range parts {
		if !named[digest] {
			delete(parts, digest)
		}
	}
	for digest, content := range fetched {
		parts[digest] = content
	}
	return nil
}
