package configuration

import (
	"fmt"
	"net/netip"
)

// blockLengthBytes is the length field before each encoded block.
const blockLengthBytes = 1

// EncodedBlocks is the client blocks of a zone as a chunk holds them: each
// block is one length byte and the binary form of its netip.Prefix.
type EncodedBlocks struct {
	// Digest is the content address.
	Digest  string
	Content []byte
}

// BlockMalformedError reports encoded client blocks that cannot be read.
type BlockMalformedError struct{ Offset int }

// Error implements the error interface.
func (e *BlockMalformedError) Error() string {
	return fmt.Sprintf("client block at byte %d is malformed", e.Offset)
}

// encodeBlocks encodes checked client blocks.
func encodeBlocks(blocks []string) []byte {
	var content []byte
	for _, text := range blocks {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			continue // Parse has refused it
		}
		content = AppendBlock(content, prefix)
	}
	return content
}

// AppendBlock appends one encoded client block.
func AppendBlock(content []byte, block netip.Prefix) []byte {
	encoded, err := block.MarshalBinary()
	if err != nil {
		return content // netip never fails for a valid prefix
	}
	content = append(content, byte(len(encoded)))
	return append(content, encoded...)
}

// DecodeBlocks returns the client blocks. It returns a *BlockMalformedError.
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
