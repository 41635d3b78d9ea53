package fleet

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/mirror"
	"lovagescale/internal/wire"
)

// Digests are the largest part of the traffic between instances. They are packed: the
// endpoint loads of a digest become one number for each endpoint that both sides know, in
// the order of their keys, and the whole is compressed. A peer that does not accept packed
// messages gets plain ones.

// maxUnpackedBytes bounds the size of an unpacked message.
const maxUnpackedBytes = 32 << 20

// maxDecodedBytes bounds the memory of what is decoded from an unpacked message: its elements may be
// much smaller packed than decoded.
const maxDecodedBytes = 64 << 20

// DecodedSizeError reports a packed message that takes too much memory once it is decoded.
type DecodedSizeError struct{ Bytes int64 }

// Error implements the error interface.
func (e *DecodedSizeError) Error() string {
	return fmt.Sprintf("message takes %d bytes decoded, above the limit of %d", e.Bytes, maxDecodedBytes)
}

// maxEndpointLists is the number of lists of endpoints that are kept. A reply may refer to
// a list that has changed since the report.
const maxEndpointLists = 4

// UnpackError reports a packed message that cannot be read.
type UnpackError struct{ Cause error }

// Error implements the error interface.
func (e *UnpackError) Error() string {
	return fmt.Sprintf("packed message cannot be read: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnpackError) Unwrap() error { return e.Cause }

// UnknownEndpointsError reports loads of a list of endpoints that this instance does not
// know.
type UnknownEndpointsError struct{ Hash uint64 }

// Error implements the error interface.
func (e *UnknownEndpointsError) Error() string {
	return fmt.Sprintf("loads are of a list of endpoints with hash %x, which is unknown", e.Hash)
}

// endpointList is the endpoints that an instance knew at one time, ordered by key.
type endpointList struct {
	hash uint64
	keys []EndpointKey
}

func newEndpointList(keys []EndpointKey) endpointList {
	slices.Sort(keys)
	keys = slices.Compact(keys)
	digest := xxhash.New()
	var number [4]byte
	for _, key := range keys {
		binary.BigEndian.PutUint32(number[:], uint32(key))
		_, _ = digest.Write(number[:]) // never fails
	}
	return endpointList{hash: digest.Sum64() | 1, keys: keys}
}

// pack returns the number of in-flight requests at each endpoint of the list, as varints.
// Loads of other endpoints are left out.
func (l endpointList) pack(loads []EndpointLoad) []byte {
	inFlight := make([]uint64, len(l.keys))
	for _, load := range loads {
		if i, found := slices.BinarySearch(l.keys, load.Endpoint); found && load.InFlight > 0 {
			inFlight[i] += uint64(load.InFlight)
		}
	}
	packed := make([]byte, 0, len(l.keys))
	for _, n := range inFlight {
		packed = binary.AppendUvarint(packed, n)
	}
	return packed
}

// unpack returns the loads that pack has packed.
func (l endpointList) unpack(packed []byte) ([]EndpointLoad, error) {
	var loads []EndpointLoad
	for _, key := range l.keys {
		n, length := binary.Uvarint(packed)
		if length <= 0 {
			return nil, io.ErrUnexpectedEOF
		}
		packed = packed[length:]
		if n > 0 {
			loads = append(loads, EndpointLoad{Endpoint: key, InFlight: int(n)})
		}
	}
	return loads, nil
}

// SetEndpoints records the endpoints that this instance knows.
func (v *View) SetEndpoints(keys []EndpointKey) {
	list := newEndpointList(keys)
	if len(v.endpointLists) > 0 && v.endpointLists[0].hash == list.hash {
		return
	}
	v.endpointLists = append([]endpointList{list}, v.endpointLists...)
	v.endpointLists = v.endpointLists[:min(len(v.endpointLists), maxEndpointLists)]
}

func (v *View) endpointList(hash uint64) (endpointList, bool) {
	for _, list := range v.endpointLists {
		if list.hash == hash {
			return list, true
		}
	}
	return endpointList{}, false
}

// packedContent is what a packed message holds.
type packedContent struct {
	Digests []Digest `msgpack:"d"`
	Totals  *Totals  `msgpack:"t,omitempty"`
	// EndpointsHash is the hash of the list of endpoints to which Loads refer; 0 if the
	// digests hold their loads as rows.
	EndpointsHash uint64 `msgpack:"h,omitempty"`
	// Loads are the packed endpoint loads of each digest.
	Loads [][]byte `msgpack:"l,omitempty"`
}

// Packing says how an instance accepts packed messages.
type Packing struct {
	// Accepted is set if it accepts them.
	Accepted bool `msgpack:"p,omitempty"`
	// EndpointsHash is the hash of the endpoints that it knows.
	EndpointsHash uint64 `msgpack:"e,omitempty"`
	// AcceptsReports is set in replies to reports if it accepts packed reports.
	AcceptsReports bool `msgpack:"r,omitempty"`
}

// Packing returns how this instance accepts packed messages.
func (v *View) Packing() Packing {
	packing := Packing{Accepted: true}
	if len(v.endpointLists) > 0 {
		packing.EndpointsHash = v.endpointLists[0].hash
	}
	return packing
}

// PackReply packs the digests and totals of a reply as its receiver accepts them.
func (v *View) PackReply(reply Reply, accepts Packing) (Reply, error) {
	if !accepts.Accepted {
		return reply, nil
	}
	packed, err := v.pack(reply.Digests, reply.Totals, accepts.EndpointsHash)
	if err != nil {
		return Reply{}, err
	}
	reply.Digests, reply.Totals, reply.Packed = nil, nil, packed
	return reply, nil
}

// UnpackReply returns a reply with its digests and totals unpacked. On failure it returns
// an *UnpackError.
func (v *View) UnpackReply(reply Reply) (Reply, error) {
	if len(reply.Packed) == 0 {
		return reply, nil
	}
	content, err := v.unpack(reply.Packed)
	if err != nil {
		return Reply{}, err
	}
	reply.Digests, reply.Totals, reply.Packed = content.Digests, content.Totals, nil
	return reply, nil
}

// PackExchange packs an exchange as its receiver said in its last reply that it accepts
// it. It leaves out the members if the receiver got them before. A receiver that has lost
// them since gets them with the reply to its own exchange.
func (v *View) PackExchange(to Member, exchange Exchange) (Exchange, error) {
	p, known := v.peers[to.Instance]
	if !known || p.status.Member != to || !p.packing.Accepted {
		return exchange, nil
	}
	digest := exchange.Digest
	if p.membersHash == digest.MembersHash {
		digest.Members = nil
	}
	packed, err := v.pack([]Digest{digest}, nil, p.packing.EndpointsHash)
	if err != nil {
		return Exchange{}, err
	}
	exchange.Digest, exchange.Packed = Digest{}, packed
	return exchange, nil
}

// UnpackExchange returns an exchange with its digest unpacked. On failure it returns an
// *UnpackError.
func (v *View) UnpackExchange(exchange Exchange) (Exchange, error) {
	if len(exchange.Packed) == 0 {
		return exchange, nil
	}
	content, err := v.unpack(exchange.Packed)
	if err != nil {
		return Exchange{}, err
	}
	if len(content.Digests) != 1 {
		return Exchange{}, &UnpackError{Cause: io.ErrUnexpectedEOF}
	}
	exchange.Digest, exchange.Packed = content.Digests[0], nil
	return exchange, nil
}

// RecordExchanged records the reply to an exchange, which held or implied the members of
// this region with the given hash.
func (v *View) RecordExchanged(with Member, membersHash uint64, reply Reply) {
	if p, known := v.peers[with.Instance]; known && p.status.Member == with {
		p.packing = reply.Packing
		p.membersHash = membersHash
	}
}

// pack packs digests and totals for a peer that knows the endpoints with the hash.
func (v *View) pack(digests []Digest, totals *Totals, endpointsHash uint64) ([]byte, error) {
	content := packedContent{Digests: digests, Totals: totals}
	if list, found := v.endpointList(endpointsHash); found {
		content.EndpointsHash = endpointsHash
		content.Digests = slices.Clone(digests)
		for i, digest := range content.Digests {
			var packed []byte
			if len(digest.Activity.EndpointLoads) > 0 {
				packed = list.pack(digest.Activity.EndpointLoads)
			}
			content.Loads = append(content.Loads, packed)
			content.Digests[i].Activity.EndpointLoads = nil
		}
	}
	return compress(content)
}

// unpack returns what pack has packed, or an *UnpackError.
func (v *View) unpack(packed []byte) (packedContent, error) {
	var content packedContent
	if err := decompress(packed, &content); err != nil {
		return packedContent{}, &UnpackError{Cause: err}
	}
	list, found := v.endpointList(content.EndpointsHash)
	if len(content.Loads) > 0 && (!found || len(content.Loads) != len(content.Digests)) {
		return packedContent{}, &UnpackError{Cause: &UnknownEndpointsError{Hash: content.EndpointsHash}}
	}
	for i, loads := range content.Loads {
		if len(loads) == 0 {
			continue
		}
		unpacked, err := list.unpack(loads)
		if err != nil {
			return packedContent{}, &UnpackError{Cause: err}
		}
		content.Digests[i].Activity.EndpointLoads = unpacked
	}
	return content, nil
}

// PackDelta returns the reply to a pull as its sender accepts it. A configuration is most of
// a delta, and every instance pulls each one.
func PackDelta(delta mirror.Delta, pull Pull) (PullReply, error) {
	if !pull.AcceptsPacked {
		return PullReply{Delta: delta}, nil
	}
	packed, err := compress(delta)
	return PullReply{Packed: packed}, err
}

// Unpack returns the delta of a reply. On failure it returns an *UnpackError.
func (r *PullReply) Unpack() (mirror.Delta, error) {
	if len(r.Packed) == 0 {
		return r.Delta, nil
	}
	var delta mirror.Delta
	if err := decompress(r.Packed, &delta); err != nil {
		return mirror.Delta{}, &UnpackError{Cause: err}
	}
	return delta, nil
}

// compressors are reused, because each one holds large tables.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // fails only at an unknown level
	return w
}}

func compress(value any) ([]byte, error) {
	var packed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&packed)
	if err := msgpack.NewEncoder(w).Encode(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

func decompress(packed []byte, value any) error {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil {
		return err
	}
	if size := wire.DecodedBytes(data); size > maxDecodedBytes {
		return &DecodedSizeError{Bytes: size}
	}
	return msgpack.Unmarshal(data, value)
}
