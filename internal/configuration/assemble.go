package configuration

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/workspacekey"
)

// Assembler builds configurations from manifests and chunks. It caches decoded
// chunks, so that a new revision only requires decoding the chunks that changed.
// The zero value is ready to use. An Assembler is not safe for concurrent use.
type Assembler struct {
	// decoded maps chunk names to the chunks of the last assembled manifest.
	decoded map[string]decodedChunk
	// blocks maps zones to their client blocks in the last assembled manifest.
	blocks map[string]assembledBlocks
}

// decodedChunk is the decoded value of a chunk and the digest of its content.
type decodedChunk struct {
	digest string
	value  any
}

// assembledBlocks holds all client blocks of a zone and the digests of the
// chunks that they come from.
type assembledBlocks struct {
	digests []string
	blocks  EncodedBlocks
}

// Assemble builds the configuration that a manifest describes. It returns a
// *ChunkMissingError or a *ChunkMalformedError.
func Assemble(manifest Manifest, chunks Chunks) (*Configuration, error) {
	return new(Assembler).Assemble(manifest, chunks)
}

// Assemble builds the configuration that a manifest describes. It returns a
// *ChunkMissingError or a *ChunkMalformedError; on an error the cache is left
// unchanged.
func (a *Assembler) Assemble(manifest Manifest, chunks Chunks) (*Configuration, error) {
	c := &Configuration{
		Revision:   manifest.Revision,
		Regions:    make(map[string]Region),
		Zones:      make(map[string]Zone),
		Services:   make(map[string]Service),
		Workspaces: make(map[string]Workspace),
		Blocks:     make(map[string]EncodedBlocks),
		Keys:       make(map[string]workspacekey.Record),
	}
	next := make(map[string]decodedChunk, len(manifest.Chunks))
	blockChunks := make(map[string][]string)
	for _, name := range sortedKeys(manifest.Chunks) {
		d, err := a.decode(name, manifest.Chunks[name], chunks)
		if err != nil {
			return nil, err
		}
		next[name] = d
		if zone, isBlocks := strings.CutPrefix(name, chunkBlocks+"/"); isBlocks {
			zone = zone[:strings.LastIndex(zone, "/")]
			blockChunks[zone] = append(blockChunks[zone], name)
			continue
		}
		c.addValue(d.value)
	}
	a.decoded = next
	a.assembleBlocks(c, blockChunks)
	return c, nil
}

// decode returns the named chunk, from the cache if its digest is unchanged.
func (a *Assembler) decode(name, digest string, chunks Chunks) (decodedChunk, error) {
	if cached, found := a.decoded[name]; found && cached.digest == digest {
		return cached, nil
	}
	content, found := chunks[digest]
	if !found {
		return decodedChunk{}, &ChunkMissingError{Name: name, Digest: digest}
	}
	value, err := decodeChunk(name, content)
	if err != nil {
		return decodedChunk{}, &ChunkMalformedError{Name: name, Cause: err}
	}
	return decodedChunk{digest: digest, value: value}, nil
}

// assembleBlocks sets the client blocks of each zone. The blocks of a zone whose
// chunks are unchanged are reused. blockChunks maps zones to chunk names.
func (a *Assembler) assembleBlocks(c *Configuration, blockChunks map[string][]string) {
	next := make(map[string]assembledBlocks, len(blockChunks))
	for zone, names := range blockChunks {
		digests := make([]string, 0, len(names))
		for _, name := range names {
			digests = append(digests, a.decoded[name].digest)
		}
		cached, found := a.blocks[zone]
		if !found || !slices.Equal(cached.digests, digests) {
			cached = assembledBlocks{digests: digests, blocks: a.concatenate(names, digests)}
		}
		next[zone] = cached
		c.Blocks[zone] = cached.blocks
	}
	a.blocks = next
}

// concatenate returns the client blocks of all the named chunks of a zone.
func (a *Assembler) concatenate(names, digests []string) EncodedBlocks {
	var content []byte
	for _, name := range names {
		content = append(content, a.decoded[name].value.([]byte)...)
	}
	return EncodedBlocks{Digest: Digest([]byte(strings.Join(digests, " "))), Content: content}
}

// decodeChunk decodes a chunk according to its kind. For a kind that this version
// does not know, which a later version may write, it returns nil.
func decodeChunk(chunkName string, content []byte) (any, error) {
	kind, _, _ := strings.Cut(chunkName, "/")
	switch kind {
	case chunkRegion:
		return decodeAs[Region](content)
	case chunkZone:
		return decodeAs[Zone](content)
	case chunkService:
		return decodeAs[Service](content)
	case chunkWorkspace:
		return decodeAs[Workspace](content)
	case chunkKeys:
		return decodeAs[[]workspacekey.Record](content)
	case chunkBlocks:
		return content, nil
	}
	return nil, nil
}

func decodeAs[V any](content []byte) (any, error) {
	var value V
	err := msgpack.Unmarshal(content, &value)
	return value, err
}

// addValue stores the decoded value of a chunk and ignores unknown types.
func (c *Configuration) addValue(value any) {
	switch v := value.(type) {
	case Region:
		c.Regions[v.Name] = v
	case Zone:
		c.Zones[v.Name] = v
	case Service:
		c.Services[v.Name] = v
	case Workspace:
		c.Workspaces[v.Name] = v
	case []workspacekey.Record:
		for _, record := range v {
			c.Keys[record.Identifier] = record
		}
	}
}

// WithKeysWithdrawn returns a copy of the configuration in which the given keys are
// replaced by tombstones. Unknown identifiers are ignored.
func (c *Configuration) WithKeysWithdrawn(withdrawn map[string]struct{}) *Configuration {
	copied := *c
	copied.Keys = maps.Clone(c.Keys)
	for identifier := range withdrawn {
		if record, known := copied.Keys[identifier]; known {
			copied.Keys[identifier] = record.Tombstone()
		}
	}
	return &copied
}

// ClientBlocks decodes the client blocks of a zone.
func (c *Configuration) ClientBlocks(zone string) []netip.Prefix {
	blocks, err := DecodeBlocks(c.Blocks[zone].Content)
	if err != nil {
		return nil // not expected: blocks are encoded from prefixes that Parse accepted
	}
	return blocks
}
