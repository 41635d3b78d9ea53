package action

// maxTombstones bounds the keys whose last "not-run" is remembered one by one.
const maxTombstones = 4096

// tombstones orders the tries of a key against the "not-run" that the owner
// has said of it. A try that another entry took on before a "not-run" may
// arrive after it; starting it then would make the "not-run" false. Each
// "not-run" raises the reading; a handed try carries a reading of the owner
// from when it was taken on, and starts only if that is not older than the
// key's last "not-run".
type tombstones struct {
	reading uint64
	// floor is the reading of the latest tombstone that was dropped.
	floor uint64
	limit int
	last  map[Digest]uint64
	ring  []tombstone
}

type tombstone struct {
	digest  Digest
	reading uint64
}

func newTombstones(limit int) tombstones {
	return tombstones{limit: limit, last: make(map[Digest]uint64)}
}

// add records that the key was said to be "not-run".
func (t *tombstones) add(digest Digest) {
	t.reading++
	t.last[digest] = t.reading
	t.ring = append(t.ring, tombstone{digest: digest, reading: t.reading})
	if len(t.ring) > t.limit {
		t.dropOldest()
	}
}

func (t *tombstones) dropOldest() {
	oldest := t.ring[0]
	t.ring = t.ring[1:]
	t.floor = oldest.reading
	if t.last[oldest.digest] == oldest.reading {
		delete(t.last, oldest.digest)
	}
}

// stale reports whether a try with the reading may be older than the key's
// last "not-run".
func (t *tombstones) stale(digest Digest, reading uint64) bool {
	return reading < max(t.last[digest], t.floor)
}
