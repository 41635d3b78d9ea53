package wire

import "encoding/binary"

const (
	// collectionBytes is the memory of a decoded array or map, or of an empty value that stands for one,
	// besides its elements: a struct and what refers to it.
	collectionBytes = 256
	// scalarBytes is the memory of another decoded element besides its text or bytes.
	scalarBytes = 16
	// copies is how often the bytes of a message are held: as received and decoded.
	copies = 2
)

// DecodedBytes returns the memory that a msgpack message takes with all that is decoded from it.
// Elements may be much smaller on the wire than in memory. The message need not be valid.
func DecodedBytes(data []byte) int64 {
	total := copies * int64(len(data))
	for at := 0; at < len(data); {
		size, collection := element(data[at:])
		if collection {
			total += collectionBytes
		} else {
			total += scalarBytes
		}
		at += size
	}
	return total
}

// element returns the size of the element at the start of data, without those that an array or a map
// contains, and whether it is one of these or an empty value.
func element(data []byte) (size int, collection bool) {
	code := data[0]
	switch {
	case code <= 0x7f || code >= 0xe0: // small integers
		return 1, false
	case code <= 0x9f: // small maps and arrays
		return 1, true
	case code <= 0xbf: // short strings
		return 1 + int(code-0xa0), false
	}
	l := elementLayouts[code-firstLong]
	size = 1 + l.lengthBytes + l.fixedBytes
	if len(data) > l.lengthBytes {
		size += variableBytes(data[1:], l.lengthBytes)
	}
	return size, l.collection
}

// variableBytes returns the length that is stated in the first n bytes.
func variableBytes(data []byte, n int) int {
	switch n {
	case 1:
		return int(data[0])
	case 2:
		return int(binary.BigEndian.Uint16(data))
	case 4:
		return int(binary.BigEndian.Uint32(data))
	}
	return 0
}

// elementLayout is how an element is laid out behind its code.
type elementLayout struct {
	// lengthBytes is the size of the stated length, fixedBytes that of what precedes or replaces
	// the content.
	lengthBytes, fixedBytes int
	collection              bool
}

// firstLong is the first code of an element whose layout is in elementLayouts.
const firstLong = 0xc0

// elementLayouts are those of the codes from firstLong to 0xdf, see the specification of msgpack. Large
// arrays and maps state the number of their elements, which follow as elements of their own.
var elementLayouts = [32]elementLayout{
	0xc0 - firstLong: {collection: true},                                                                       // nil
	0xc4 - firstLong: {lengthBytes: 1}, 0xc5 - firstLong: {lengthBytes: 2}, 0xc6 - firstLong: {lengthBytes: 4}, // bytes
	0xc7 - firstLong: {lengthBytes: 1, fixedBytes: 1}, 0xc8 - firstLong: {lengthBytes: 2, fixedBytes: 1},
	0xc9 - firstLong: {lengthBytes: 4, fixedBytes: 1},                    // extensions
	0xca - firstLong: {fixedBytes: 4}, 0xcb - firstLong: {fixedBytes: 8}, // floating point
	0xcc - firstLong: {fixedBytes: 1}, 0xcd - firstLong: {fixedBytes: 2}, 0xce - firstLong: {fixedBytes: 4}, 0xcf - firstLong: {fixedBytes: 8},
	0xd0 - firstLong: {fixedBytes: 1}, 0xd1 - firstLong: {fixedBytes: 2}, 0xd2 - firstLong: {fixedBytes: 4}, 0xd3 - firstLong: {fixedBytes: 8},
	0xd4 - firstLong: {fixedBytes: 2}, 0xd5 - firstLong: {fixedBytes: 3}, 0xd6 - firstLong: {fixedBytes: 5}, 0xd7 - firstLong: {fixedBytes: 9},
	0xd8 - firstLong: {fixedBytes: 17},                                                                         // extensions of fixed size
	0xd9 - firstLong: {lengthBytes: 1}, 0xda - firstLong: {lengthBytes: 2}, 0xdb - firstLong: {lengthBytes: 4}, // strings
	0xdc - firstLong: {fixedBytes: 2, collection: true}, 0xdd - firstLong: {fixedBytes: 4, collection: true},
	0xde - firstLong: {fixedBytes: 2, collection: true}, 0xdf - firstLong: {fixedBytes: 4, collection: true},
}
