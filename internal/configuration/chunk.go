package configuration

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Kinds of chunk. A chunk is named KIND/NAME.
const (
	chunkRegion = "region"
	chunkZone   = "zone"
	// chunkBlocks holds some of the client blocks of a zone. Its chunks are named
	// "blocks/ZONE/NUMBER".
	chunkBlocks    = "blocks"
	chunkService   = "service"
	chunkWorkspace = "workspace"
	chunkKeys      = "keys"
)

// blocksPerChunk is the highest average number of client blocks in a chunk. It
// keeps chunks small, so that changing one block transfers a few kilobytes.
const blocksPerChunk = 256

// maxRecentChanges is the number of changes that a manifest lists.
const maxRecentChanges = 32

// digestBytes is the length of a content address before base64 encoding.
const digestBytes = 20

// MaxChunkBytes limits the size of a chunk, so that it fits into a store value
// and into a frame of the link protocol.
const MaxChunkBytes = 512 << 10

// Manifest lists the chunks of one revision.
type Manifest struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	// ChangeID identifies the change that created this revision, so that a writer
	// that did not receive the reply can recognize its own change.
	ChangeID string `msgpack:"c" json:"change_id"`
	// Author names who made the change.
	Author string `msgpack:"a" json:"author"`
	// Chunks maps chunk names to the digests of their contents.
	Chunks map[string]string `msgpack:"h" json:"chunks"`
	// Recent holds the last changes including this one, oldest first. A writer
	// that did not receive the reply finds its change here even when other
	// changes have followed.
	Recent []Change `msgpack:"p" json:"recent"`
}

// Change identifies a published change and its author.
type Change struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	ChangeID string `msgpack:"c" json:"change_id"`
	Author   string `msgpack:"a" json:"author"`
}

// Successor returns the manifest that a change publishes in place of m. digests
// maps the new chunk names to digests.
func (m Manifest) Successor(change Change, digests map[string]string) Manifest {
	recent := append(slices.Clone(m.Recent), change)
	return Manifest{
		Revision: change.Revision,
		ChangeID: change.ChangeID,
		Author:   change.Author,
		Chunks:   digests,
		Recent:   recent[max(0, len(recent)-maxRecentChanges):],
	}
}

// FindChange returns the recent change with the given identifier.
func (m Manifest) FindChange(changeID string) (Change, bool) {
	for _, change := range m.Recent {
		if change.ChangeID == changeID {
			return change, true
		}
	}
	return Change{}, false
}

// Sum returns a digest of the whole manifest, or "" if it cannot be encoded.
func (m Manifest) Sum() string {
	content, err := encodeChunk(m)
	if err != nil {
		return ""
	}
	return Digest(content)
}

// ChunkMissingError reports a chunk that a manifest lists but that is not
// available.
type ChunkMissingError struct {
	Name   string
	Digest string
}

// Error implements the error interface.
func (e *ChunkMissingError) Error() string {
	return fmt.Sprintf("chunk %q with digest %s is missing", e.Name, e.Digest)
}

// ChunkMalformedError reports a chunk that cannot be encoded or decoded.
type ChunkMalformedError struct {
	Name  string
	Cause error
}

// Error implements the error interface.
func (e *ChunkMalformedError) Error() string {
	return fmt.Sprintf("chunk %q is malformed: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *ChunkMalformedError) Unwrap() error { return e.Cause }

// ChunkTooLargeError reports a table of the text, or the keys of a workspace,
// that encode to more than MaxChunkBytes.
type ChunkTooLargeError struct {
	Name  string
	Bytes int
}

// Error implements the error interface.
func (e *ChunkTooLargeError) Error() string {
	return fmt.Sprintf("chunk %q has %d bytes, above the limit of %d", e.Name, e.Bytes, MaxChunkBytes)
}

// Digest returns the content address of a chunk.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return base64.RawURLEncoding.EncodeToString(sum[:digestBytes])
}

// Chunks maps digests to the contents of chunks.
type Chunks map[string][]byte

// Compile returns the digests of the text's chunks by chunk name, and the chunks.
// It returns a *ChunkTooLargeError.
func (t *Text) Compile() (map[string]string, Chunks, error) {
	c := &compiler{digests: make(map[string]string), chunks: make(Chunks)}
	for name, region := range t.Region {
		c.addChunk(chunkRegion, name, Region{
			Name:               name,
			LinkBytesPerSecond: float64(region.LinkBandwidth),
			ShiftCapPerSecond:  float64(region.ShiftCap),
		})
	}
	for name, zone := range t.Zone {
		c.addChunk(chunkZone, name, Zone{Name: name, Region: zone.Region})
		c.addBlocks(name, zone.ClientBlocks)
	}
	for name, service := range t.Service {
		c.addChunk(chunkService, name, Service{
			Name:        name,
			DependsOn:   service.DependsOn,
			Slots:       service.Slots,
			Connections: service.Connections,
			Timeout:     service.Timeout.Std(),
			Endpoints:   service.Endpoints,
			Routes:      compileRoutes(service.Route),
		})
	}
	for name, workspace := range t.Workspace {
		c.addChunk(chunkWorkspace, name, Workspace{
			Name:          name,
			RatePerSecond: float64(workspace.Rate),
			Burst:         workspace.Burst,
			Services:      workspace.Services,
			Isolation:     workspace.Isolation.Std(),
		})
	}
	return c.digests, c.chunks, c.err
}

// compiler collects the chunks of a text. After an error it adds no more chunks.
type compiler struct {
	digests map[string]string
	chunks  Chunks
	err     error
}

func (c *compiler) addChunk(kind, name string, value any) {
	if c.err != nil {
		return
	}
	content, err := encodeChunk(value)
	if err != nil {
		c.err = &ChunkMalformedError{Name: kind + "/" + name, Cause: err}
		return
	}
	c.addEncoded(kind, name, content)
}

func (c *compiler) addEncoded(kind, name string, content []byte) {
	if c.err != nil {
		return
	}
	chunkName := kind + "/" + name
	if len(content) > MaxChunkBytes {
		c.err = &ChunkTooLargeError{Name: chunkName, Bytes: len(content)}
		return
	}
	digest := Digest(content)
	c.digests[chunkName] = digest
	c.chunks[digest] = content
}

// encodeChunk encodes a value deterministically: equal values give equal bytes.
func encodeChunk(value any) ([]byte, error) {
	var buffer strings.Builder
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetSortMapKeys(true)
	err := encoder.Encode(value)
	return []byte(buffer.String()), err
}

// addBlocks distributes the client blocks of a zone over chunks by their hash. The
// number of chunks is a power of two, so that it seldom changes.
func (c *compiler) addBlocks(zone string, blocks []string) {
	bucketCount := 1
	for bucketCount*blocksPerChunk < len(blocks) {
		bucketCount *= 2
	}
	buckets := make([][]string, bucketCount)
	for _, block := range blocks {
		number := xxhash.Sum64String(block) % uint64(bucketCount)
		buckets[number] = append(buckets[number], block)
	}
	for number, bucket := range buckets {
		if len(bucket) == 0 {
			continue
		}
		slices.Sort(bucket)
		c.addEncoded(chunkBlocks, zone+"/"+strconv.Itoa(number), encodeBlocks(bucket))
	}
}
