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

// Kinds of chunk, the first part of a chunk's name.
const (
	chunkRegion = "region"
	chunkZone   = "zone"
	// chunkBlocks holds a part of a zone's client blocks: "blocks/ZONE/PART".
	chunkBlocks    = "blocks"
	chunkService   = "service"
	chunkWorkspace = "workspace"
	chunkKeys      = "keys"
)

// blocksPerChunk is the most client blocks that a chunk holds on average, so
// that a change of one block moves a few kilobytes.
const blocksPerChunk = 256

// recentChanges is the number of changes that a manifest remembers.
const recentChanges = 32

// digestBytes is the length of a content address before its coding.
const digestBytes = 20

// MaxChunkBytes bounds a chunk, so that it fits the store and a frame.
const MaxChunkBytes = 512 << 10

// Manifest names the chunks of one revision.
type Manifest struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	// ChangeID identifies the change that made this revision, so that a writer
	// whose reply was lost can recognise its own change.
	ChangeID string `msgpack:"c" json:"change_id"`
	// Author names who made the change.
	Author string `msgpack:"a" json:"author"`
	// Chunks maps a chunk's name to the digest of its content.
	Chunks map[string]string `msgpack:"h" json:"chunks"`
	// Recent holds the last changes, this one included, oldest first. A writer
	// whose reply was lost finds its change there after others followed.
	Recent []Change `msgpack:"p" json:"recent"`
}

// Change identifies one change.
type Change struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	ChangeID string `msgpack:"c" json:"change_id"`
	Author   string `msgpack:"a" json:"author"`
}

// Successor returns the manifest that a change makes of m.
func (m Manifest) Successor(change Change, names map[string]string) Manifest {
	recent := append(slices.Clone(m.Recent), change)
	return Manifest{
		Revision: change.Revision,
		ChangeID: change.ChangeID,
		Author:   change.Author,
		Chunks:   names,
		Recent:   recent[max(0, len(recent)-recentChanges):],
	}
}

// Find returns the recent change with the identifier.
func (m Manifest) Find(changeID string) (Change, bool) {
	for _, change := range m.Recent {
		if change.ChangeID == changeID {
			return change, true
		}
	}
	return Change{}, false
}

// Sum returns a digest over the whole manifest.
func (m Manifest) Sum() string {
	content, err := encodeChunk(m)
	if err != nil {
		return ""
	}
	return Digest(content)
}

// ChunkMissingError reports a manifest that names a chunk which is not there.
type ChunkMissingError struct {
	Name   string
	Digest string
}

// Error implements the error interface.
func (e *ChunkMissingError) Error() string {
	return fmt.Sprintf("chunk %q with digest %s is missing", e.Name, e.Digest)
}

// ChunkMalformedError reports a chunk that cannot be read.
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

// ChunkTooLargeError reports an entry of the text that compiles to more than
// MaxChunkBytes.
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

// Chunks holds contents by digest.
type Chunks map[string][]byte

// Compile returns the chunks of a text and the digests by chunk name. It
// returns a *ChunkTooLargeError.
func (t *Text) Compile() (map[string]string, Chunks, error) {
	c := &compiler{names: make(map[string]string), chunks: make(Chunks)}
	for name, region := range t.Region {
		c.add(chunkRegion, name, Region{
			Name:               name,
			LinkBytesPerSecond: float64(region.LinkBandwidth),
			ShiftCapPerSecond:  float64(region.ShiftCap),
		})
	}
	for name, zone := range t.Zone {
		c.add(chunkZone, name, Zone{Name: name, Region: zone.Region})
		c.addBlocks(name, zone.ClientBlocks)
	}
	for name, service := range t.Service {
		c.add(chunkService, name, Service{
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
		c.add(chunkWorkspace, name, Workspace{
			Name:          name,
			RatePerSecond: float64(workspace.Rate),
			Burst:         workspace.Burst,
			Services:      workspace.Services,
			Isolation:     workspace.Isolation.Std(),
		})
	}
	return c.names, c.chunks, c.err
}

type compiler struct {
	names  map[string]string
	chunks Chunks
	err    error
}

func (c *compiler) add(kind, name string, value any) {
	if c.err != nil {
		return
	}
	content, err := encodeChunk(value)
	if err != nil {
		c.err = &ChunkMalformedError{Name: kind + "/" + name, Cause: err}
		return
	}
	c.addContent(kind, name, content)
}

func (c *compiler) addContent(kind, name string, content []byte) {
	if c.err != nil {
		return
	}
	chunkName := kind + "/" + name
	if len(content) > MaxChunkBytes {
		c.err = &ChunkTooLargeError{Name: chunkName, Bytes: len(content)}
		return
	}
	digest := Digest(content)
	c.names[chunkName] = digest
	c.chunks[digest] = content
}

// encodeChunk writes equal values as equal bytes.
func encodeChunk(value any) ([]byte, error) {
	var buffer strings.Builder
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetSortMapKeys(true)
	err := encoder.Encode(value)
	return []byte(buffer.String()), err
}

// addBlocks spreads a zone's client blocks over chunks by their hash. The
// number of chunks is a power of two, so that it seldom changes.
func (c *compiler) addBlocks(zone string, blocks []string) {
	parts := 1
	for parts*blocksPerChunk < len(blocks) {
		parts *= 2
	}
	split := make([][]string, parts)
	for _, block := range blocks {
		part := xxhash.Sum64String(block) % uint64(parts)
		split[part] = append(split[part], block)
	}
	for part, held := range split {
		if len(held) == 0 {
			continue
		}
		slices.Sort(held)
		c.addContent(chunkBlocks, zone+"/"+strconv.Itoa(part), encodeBlocks(held))
	}
}
