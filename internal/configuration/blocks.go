package configuration

import (
	"fmt"
	"net/netip"
)

// blockLengthBytes is the size of the length field before each encoded block.
const blockLengthBytes = 1

// EncodedBlocks holds the client blocks of a zone in the encoding of their chunks:
// each block is one length byte followed by the binary form of its netip.Prefix.
type EncodedBlocks struct {
	// Digest changes whenever the content does. It is computed from the digests
	// of the chunks.
	Digest  string
	Content []byte
}

// BlockMalformedError reports encoded client blocks that cannot be decoded.
type BlockMalformedError struct{ Offset int }

// Error implements the error interface.
func (e *BlockMalformedError) Error() string {
	return fmt.Sprintf("client block at byte %d is malformed", e.Offset)
}

// encodeBlocks encodes client blocks that have passed the checks of Parse.
func encodeBlocks(blocks []string) []byte {
	var content []byte
	for _, text := range blocks {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			continue // not expected: Parse rejects malformed blocks
		}
		content = AppendBlock(content, prefix)
	}
	return content
}

// AppendBlock encodes a client block and appends it to content.
func AppendBlock(content []byte, block netip.Prefix) []byte {
	encoded, err := block.MarshalBinary()
	if err != nil {
		return content // not expected: netip encodes every valid prefix
	}
	content = append(content, byte(len(encoded)))
	return append(content, encoded...)
}

// DecodeBlocks decodes client blocks. It returns a *BlockMalformedError.
func DecodeBlocks(content []byte) ([]netip.Prefix, error) {
	var blocks []netip.Prefix
	for offset := 0; offset < len(content); {
		start := offset + blockLengthBytes
		end := start + int(content[offset])
		if end > len(content) {
			return nil, &BlockMalformedError{Offset: offset}
		}
		var block netip.Prefix
		if err := block.UnmarshalBinary(content[start:end]); err != nil || !block.IsValid() {
			return nil, &BlockMalformedError{Offset: offset}
		}
		blocks = append(blocks, block)
		offset = end
	}
	return blocks, nil
}
