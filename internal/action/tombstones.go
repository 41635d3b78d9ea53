package action

// maxTombstones limits the "not-run" reports that are remembered individually.
const maxTombstones = 4096

// tombstones orders forwarded attempts relative to the owner's reports that a key
// was "not-run". An attempt that began at another entry before such a report may
// arrive after it; starting it then would make the report false. Each report
// therefore increments the owner's sequence number. A forwarded attempt carries
// the sequence number that the forwarding entry knew when the attempt began, and
// starts only if that is not older than the key's last report. Otherwise it is
// stale, and is forwarded again with the current number if its caller still waits.
type tombstones struct {
	sequence uint64
	// evictionWatermark is the sequence number of the last evicted tombstone. It
	// stands in for the last report of any key without a tombstone.
	evictionWatermark uint64
	capacity          int
	latest            map[Digest]uint64
	queue             []tombstone
}

// tombstone is one report that a key was "not-run".
type tombstone struct {
	digest   Digest
	sequence uint64
}

func newTombstones(capacity int) tombstones {
	return tombstones{capacity: capacity, latest: make(map[Digest]uint64)}
}

// add records that the key was reported as "not-run".
func (t *tombstones) add(digest Digest) {
	t.sequence++
	t.latest[digest] = t.sequence
	t.queue = append(t.queue, tombstone{digest: digest, sequence: t.sequence})
	if len(t.queue) > t.capacity {
		t.evictOldest()
	}
}

func (t *tombstones) evictOldest() {
	oldest := t.queue[0]
	t.queue = t.queue[1:]
	t.evictionWatermark = oldest.sequence
	if t.latest[oldest.digest] == oldest.sequence {
		delete(t.latest, oldest.digest)
	}
}

// stale reports whether an attempt with the given sequence number may have begun
// before the key was last reported as "not-run".
func (t *tombstones) stale(digest Digest, sequence uint64) bool {
	return sequence < max(t.latest[digest], t.evictionWatermark)
}
