package configuration

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/workspacekey"
)

// Assembler builds configurations from manifests and chunks. It keeps what it
// decoded, so that a change costs the decoding of the chunks it changed. The
// zero value is ready; it must not be used from several goroutines.
type Assembler struct {
	decoded map[string]decoded
	blocks  map[string]zoneBlocks
}

// decoded is the value of one chunk.
type decoded struct {
	digest string
	value  any
}

// zoneBlocks holds the joined client blocks of a zone and the digests of the
// chunks they come from.
type zoneBlocks struct {
	digests []string
	joined  EncodedBlocks
}

// Assemble builds the configuration that a manifest names. It returns a
// *ChunkMissingError or a *ChunkMalformedError.
func Assemble(manifest Manifest, chunks Chunks) (*Configuration, error) {
	return new(Assembler).Assemble(manifest, chunks)
}

// Assemble builds the configuration that a manifest names. It returns a
// *ChunkMissingError or a *ChunkMalformedError and keeps its state then.
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
	next := make(map[string]decoded, len(manifest.Chunks))
	parts := make(map[string][]string)
	for _, name := range sortedKeys(manifest.Chunks) {
		d, err := a.decode(name, manifest.Chunks[name], chunks)
		if err != nil {
			return nil, err
		}
		next[name] = d
		if zone, isBlocks := strings.CutPrefix(name, chunkBlocks+"/"); isBlocks {
			zone = zone[:strings.LastIndex(zone, "/")]
			parts[zone] = append(parts[zone], name)
			continue
		}
		c.add(d.value)
	}
	a.decoded = next
	a.joinBlocks(c, parts)
	return c, nil
}

func (a *Assembler) decode(name, digest string, chunks Chunks) (decoded, error) {
	if known, found := a.decoded[name]; found && known.digest == digest {
		return known, nil
	}
	content, found := chunks[digest]
	if !found {
		return decoded{}, &ChunkMissingError{Name: name, Digest: digest}
	}
	value, err := decodeChunk(name, content)
	if err != nil {
		return decoded{}, &ChunkMalformedError{Name: name, Cause: err}
	}
	return decoded{digest: digest, value: value}, nil
}

// joinBlocks gives each zone its client blocks and reuses unchanged lists.
func (a *Assembler) joinBlocks(c *Configuration, parts map[string][]string) {
	next := make(map[string]zoneBlocks, len(parts))
	for zone, names := range parts {
		digests := make([]string, 0, len(names))
		for _, name := range names {
			digests = append(digests, a.decoded[name].digest)
		}
		known, found := a.blocks[zone]
		if !found || !slices.Equal(known.digests, digests) {
			known = zoneBlocks{digests: digests, joined: a.join(names, digests)}
		}
		next[zone] = known
		c.Blocks[zone] = known.joined
	}
	a.blocks = next
}

// join puts the parts of a zone's client blocks together.
func (a *Assembler) join(names, digests []string) EncodedBlocks {
	var content []byte
	for _, name := range names {
		content = append(content, a.decoded[name].value.([]byte)...)
	}
	return EncodedBlocks{Digest: Digest([]byte(strings.Join(digests, " "))), Content: content}
}

// decodeChunk reads a chunk; a kind of a later version gives nil.
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

func (c *Configuration) add(value any) {
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

// WithWithdrawn returns the configuration with tombstones in place of the
// given keys.
func (c *Configuration) WithWithdrawn(withdrawn map[string]struct{}) *Configuration {
	copied := *c
	copied.Keys = maps.Clone(c.Keys)
	for identifier := range withdrawn {
		if record, known := copied.Keys[identifier]; known {
			copied.Keys[identifier] = record.Tombstone()
		}
	}
	return &copied
}

// ClientBlocks returns the client blocks of a zone.
func (c *Configuration) ClientBlocks(zone string) []netip.Prefix {
	blocks, err := DecodeBlocks(c.Blocks[zone].Content)
	if err != nil {
		return nil // what Parse has accepted can be read
	}
	return blocks
}
