package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/instancelist"
)

// maxZones bounds the zones that a core remembers.
const maxZones = 4096

// zone is another availability zone as its latest summary gives it.
type zone struct {
	version uint64
	records []Record
	hash    uint32
	// seen holds the latest record of each incarnation that was ever named,
	// until its retention ends.
	seen map[string]seenRecord
	// doubted are records of deaths that the summary contradicts without a
	// higher counter.
	doubted []Record
	// omitted holds since when the summary has left out a member whose death
	// was not told.
	omitted map[string]time.Time
	// advancedAt is the time at which the version last rose.
	advancedAt time.Time
	silent     bool
}

type seenRecord struct {
	record Record
	at     time.Time
}

func (c *Core) summary(name string) (Summary, bool) {
	if name == c.self.Zone {
		return Summary{Zone: name, Version: c.version, Records: c.table.exported}, true
	}
	z, known := c.zones[name]
	if !known {
		return Summary{}, false
	}
	return Summary{Zone: name, Version: z.version, Records: z.records}, true
}

// members returns the zone's members that are not dead. What the summary leaves
// out comes first, as suspected.
func (z *zone) members() []Member {
	var members []Member
	for _, incarnation := range slices.Sorted(maps.Keys(z.omitted)) {
		if s := z.seen[incarnation]; s.record.Status != Dead {
			member := s.record.Member
			member.Suspected = true
			members = append(members, member)
		}
	}
	for _, r := range z.records {
		if latest := z.seen[r.Member.Incarnation].record; latest.Status != Dead {
			member := latest.Member
			member.Suspected = z.silent
			members = append(members, member)
		}
	}
	return members
}

func (c *Core) acceptAll(now time.Time, summaries []Summary) {
	for _, summary := range summaries {
		c.accept(now, summary)
	}
}

// accept takes a summary that is newer than the one held.
func (c *Core) accept(now time.Time, summary Summary) {
	if summary.Base != 0 {
		whole, applies := c.applyChange(summary)
		if !applies {
			return
		}
		summary = whole
	}
	hash := hashRecords(summary.Records)
	if summary.Zone == c.self.Zone {
		c.raiseVersion(Digest{Zone: summary.Zone, Version: summary.Version, Hash: hash})
		c.refute(summary.Records)
		return
	}
	c.advance(now, Digest{Zone: summary.Zone, Version: summary.Version, Hash: hash})
	z, known := c.zones[summary.Zone]
	if !known || !newer(summary.Version, hash, z) {
		return
	}
	if known := z.hash != 0; known && hash != z.hash && c.isDelegate() {
		c.notePush(summary.Zone, content{hash: z.hash, records: z.records})
	}
	if summary.Version > z.version {
		z.advancedAt = now
	}
	previous := z.records
	z.version, z.hash, z.records = summary.Version, hash, summary.Records
	z.doubted = nil
	for _, r := range summary.Records {
		z.see(now, r)
	}
	z.noteOmitted(now, previous)
	c.forget(now, z)
	c.changed = true
}

// refute takes what other zones say of the own incarnation.
func (c *Core) refute(records []Record) {
	for _, r := range records {
		if r.Member.Incarnation == c.self.Incarnation {
			c.mergeSelf(r)
		}
	}
}

// see takes a record of the zone's summary. The zone's word of a death counts at
// any counter, since a sibling can know less of the dead than other zones do.
func (z *zone) see(now time.Time, r Record) {
	latest := r
	if previous, found := z.seen[r.Member.Incarnation]; found {
		latest = merge(previous.record, r)
	} else if r.Status != Dead {
		z.buryPredecessors(r.Member.Instance)
	}
	if r.Status == Dead {
		latest.Status = Dead
	}
	z.seen[r.Member.Incarnation] = seenRecord{record: latest, at: now}
	if latest.Status == Dead && r.Status != Dead {
		z.doubted = append(z.doubted, latest)
	}
}

// worldHash covers the content and the silence of the other zones.
func (c *Core) worldHash() uint32 {
	digest := xxhash.New()
	var number [5]byte
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		z := c.zones[name]
		if z.version == 0 {
			continue
		}
		_, _ = digest.WriteString(name)
		binary.BigEndian.PutUint32(number[:], z.hash)
		number[4] = 0
		if z.silent {
			number[4] = 1
		}
		_, _ = digest.Write(number[:])
	}
	return uint32(digest.Sum64())
}

// Listed takes the platform's list. An instance that turns from live to leaving
// makes its known incarnation leave for good.
func (c *Core) Listed(instances []instancelist.Instance) {
	listed := make(map[string]instancelist.Instance, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = instance
	}
	for _, member := range c.view.Members {
		before, now := c.list[member.Instance].State, listed[member.Instance].State
		if before == instancelist.Live && now == instancelist.Leaving {
			c.left[member.Incarnation] = true
		}
	}
	c.list = listed
	for _, z := range c.zones {
		c.buryUnlisted(z)
	}
	c.changed = true
	c.refresh()
}
