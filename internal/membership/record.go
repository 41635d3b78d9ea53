package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/instancelist"
)

// merge returns the later of two records of one incarnation: the one with the
// higher counter or, at the same counter, with the higher status. The result is
// leaving if either record is.
func merge(a, b Record) Record {
	later := a
	if b.Member.Counter > a.Member.Counter ||
		(b.Member.Counter == a.Member.Counter && b.Status > a.Status) {
		later = b
	}
	if a.Member.State == instancelist.Leaving || b.Member.State == instancelist.Leaving {
		later.Member.State = instancelist.Leaving
	}
	return later
}

// hashRecords returns a hash of the records whose status is not Dead. It does not
// depend on the order of the records.
func hashRecords(records []Record) uint32 {
	ordered := slices.Clone(records)
	slices.SortFunc(ordered, func(a, b Record) int {
		return cmp.Compare(a.Member.Incarnation, b.Member.Incarnation)
	})
	digest := xxhash.New()
	var number [8]byte
	for _, r := range ordered {
		if r.Status == Dead {
			continue
		}
		_, _ = digest.WriteString(r.Member.Incarnation)
		_, _ = digest.WriteString(string(r.Member.State))
		binary.BigEndian.PutUint64(number[:], r.Member.Counter<<1|uint64(r.Status&Suspect))
		_, _ = digest.Write(number[:])
	}
	return uint32(digest.Sum64())
}
