package configuration

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/store"
)

// namesPerIndexChunk is the highest average number of chunk names in an index
// chunk. It keeps index chunks small, so that a change writes and reads a few
// kilobytes whatever the size of the manifest.
const namesPerIndexChunk = 64

// manifestHeader is the value stored under ManifestKey. The chunk names and digests
// of the manifest are stored in index chunks, whose digests Index lists.
type manifestHeader struct {
	Revision uint64   `msgpack:"r"`
	ChangeID string   `msgpack:"c"`
	Author   string   `msgpack:"a"`
	Recent   []Change `msgpack:"p"`
	Index    []string `msgpack:"i"`
}

func (p PublishedManifest) encodeHeader() ([]byte, error) {
	return encodeChunk(manifestHeader{
		Revision: p.Manifest.Revision,
		ChangeID: p.Manifest.ChangeID,
		Author:   p.Manifest.Author,
		Recent:   p.Manifest.Recent,
		Index:    p.Index,
	})
}

// encodeIndex distributes the chunk names and their digests over index chunks by
// the hash of the name, and returns the encoded chunks. The number of chunks is a
// power of two, so that it seldom changes.
func encodeIndex(digests map[string]string) ([][]byte, error) {
	bucketCount := 1
	for bucketCount*namesPerIndexChunk < len(digests) {
		bucketCount *= 2
	}
	buckets := make([]map[string]string, bucketCount)
	for i := range buckets {
		buckets[i] = make(map[string]string)
	}
	for name, digest := range digests {
		buckets[xxhash.Sum64String(name)%uint64(bucketCount)][name] = digest
	}
	encoded := make([][]byte, bucketCount)
	for i, bucket := range buckets {
		content, err := encodeChunk(bucket)
		if err != nil {
			return nil, err
		}
		encoded[i] = content
	}
	return encoded, nil
}

// ReadManifest returns the manifest whose header is the value of entry. It fetches
// the index chunks that indexChunks does not hold yet. Afterwards indexChunks holds
// exactly those of this manifest, so that a caller that passes it again fetches only
// the changed ones.
func ReadManifest(ctx context.Context, client store.Client, entry store.Entry, indexChunks Chunks) (PublishedManifest, error) {
	var header manifestHeader
	if err := msgpack.Unmarshal(entry.Value, &header); err != nil {
		return PublishedManifest{}, &ChunkMalformedError{Name: ManifestKey, Cause: err}
	}
	if err := fetchIndexChunks(ctx, client, header.Index, indexChunks); err != nil {
		return PublishedManifest{}, err
	}
	digests := make(map[string]string)
	for _, digest := range header.Index {
		if err := msgpack.Unmarshal(indexChunks[digest], &digests); err != nil {
			return PublishedManifest{}, &ChunkMalformedError{Name: ManifestKey, Cause: err}
		}
	}
	manifest := Manifest{Revision: header.Revision, ChangeID: header.ChangeID, Author: header.Author, Chunks: digests, Recent: header.Recent}
	return PublishedManifest{Manifest: manifest, StoreRevision: entry.Revision, Index: header.Index}, nil
}

// fetchIndexChunks fetches the listed index chunks that indexChunks does not hold
// and then drops the ones that are not listed.
func fetchIndexChunks(ctx context.Context, client store.Client, index []string, indexChunks Chunks) error {
	referenced := make(map[string]bool, len(index))
	var missing []string
	for _, digest := range index {
		referenced[digest] = true
		if _, held := indexChunks[digest]; !held {
			missing = append(missing, digest)
		}
	}
	fetched, err := Fetch(ctx, client, missing)
	if err != nil {
		return err
	}
	for digest := range indexChunks {
		if !referenced[digest] {
			delete(indexChunks, digest)
		}
	}
	for digest, content := range fetched {
		indexChunks[digest] = content
	}
	return nil
}
