package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/workspacekey"
)

// Kinds of chunk, the first part of a chunk's name.
const (
	chunkRegion    = "region"
	chunkZone      = "zone"
	chunkBlocks    = "blocks"
	chunkService   = "service"
	chunkWorkspace = "workspace"
	chunkKeys      = "keys"
)

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
	return hex.EncodeToString(sum[:])
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
		c.addContent(chunkBlocks, name, encodeBlocks(zone.ClientBlocks))
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

// Assemble builds the configuration that a manifest names. It returns a
// *ChunkMissingError or a *ChunkMalformedError.
func Assemble(manifest Manifest, chunks Chunks) (*Configuration, error) {
	c := &Configuration{
		Revision:   manifest.Revision,
		Regions:    make(map[string]Region),
		Zones:      make(map[string]Zone),
		Services:   make(map[string]Service),
		Workspaces: make(map[string]Workspace),
		Blocks:     make(map[string]EncodedBlocks),
		Keys:       make(map[string]workspacekey.Record),
	}
	for name, digest := range manifest.Chunks {
		content, found := chunks[digest]
		if !found {
			return nil, &ChunkMissingError{Name: name, Digest: digest}
		}
		if err := c.add(name, digest, content); err != nil {
			return nil, &ChunkMalformedError{Name: name, Cause: err}
		}
	}
	return c, nil
}

func (c *Configuration) add(chunkName, digest string, content []byte) error {
	kind, name, _ := strings.Cut(chunkName, "/")
	switch kind {
	case chunkRegion:
		return decodeInto(c.Regions, name, content)
	case chunkZone:
		return decodeInto(c.Zones, name, content)
	case chunkBlocks:
		c.Blocks[name] = EncodedBlocks{Digest: digest, Content: content}
		return nil
	case chunkService:
		return decodeInto(c.Services, name, content)
	case chunkWorkspace:
		return decodeInto(c.Workspaces, name, content)
	case chunkKeys:
		return c.addKeys(content)
	}
	return nil // a kind of a later version
}

func (c *Configuration) addKeys(content []byte) error {
	var records []workspacekey.Record
	if err := msgpack.Unmarshal(content, &records); err != nil {
		return err
	}
	for _, record := range records {
		c.Keys[record.Identifier] = record
	}
	return nil
}

func decodeInto[V any](target map[string]V, name string, content []byte) error {
	var value V
	if err := msgpack.Unmarshal(content, &value); err != nil {
		return err
	}
	target[name] = value
	return nil
}
