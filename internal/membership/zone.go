package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/instancelist"
)

// maxZones limits the number of other zones that a core keeps.
const maxZones = 4096

// zone is the state of another availability zone.
type zone struct {
	// version, records and hash are those of the latest summary. The version is 0
	// until a summary has been received.
	version uint64
	records []Record
	hash    uint32
	// latest holds the latest record of each incarnation that a summary has named,
	// until DeadRetention after the incarnation was last named.
	latest map[string]latestRecord
	// disputedDeaths are the records of members that this core considers dead
	// although the zone has not reported their death: the latest summary names them
	// alive without a higher counter, or this core has declared them dead itself.
	disputedDeaths []Record
	// omittedSince holds, for each incarnation that the summary omits although its
	// death was not reported, the time since when it is omitted.
	omittedSince map[string]time.Time
	// versionAdvancedAt is the time of the last increase of the version.
	versionAdvancedAt time.Time
	silent            bool
}

// latestRecord is the latest record of an incarnation and the time at which a
// summary last named it.
type latestRecord struct {
	record    Record
	lastNamed time.Time
}

// summary returns the summary of the zone, and false if the zone is unknown.
func (c *Core) summary(name string) (Summary, bool) {
	if name == c.self.Zone {
		return Summary{Zone: name, Version: c.localVersion, Records: c.table.exported}, true
	}
	z, known := c.zones[name]
	if !known {
		return Summary{}, false
	}
	return Summary{Zone: name, Version: z.version, Records: z.records}, true
}

// members returns the zone's members that are not dead. Members that the summary
// omits come first and are marked as suspected.
func (z *zone) members() []Member {
	var members []Member
	for _, incarnation := range slices.Sorted(maps.Keys(z.omittedSince)) {
		if omitted := z.latest[incarnation]; omitted.record.Status != Dead {
			member := omitted.record.Member
			member.Suspected = true
			members = append(members, member)
		}
	}
	for _, r := range z.records {
		if latest := z.latest[r.Member.Incarnation].record; latest.Status != Dead {
			member := latest.Member
			member.Suspected = z.silent
			members = append(members, member)
		}
	}
	return members
}

func (c *Core) acceptSummaries(now time.Time, summaries []Summary) {
	for _, summary := range summaries {
		c.acceptSummary(now, summary)
	}
}

// acceptSummary processes a received summary or delta. A summary of another zone
// replaces the one held if it supersedes it. One of the local zone is only searched
// for records of this incarnation and for a higher version.
func (c *Core) acceptSummary(now time.Time, summary Summary) {
	if summary.BaseHash != 0 {
		full, applies := c.applyDelta(summary)
		if !applies {
			return
		}
		summary = full
	}
	hash := hashRecords(summary.Records)
	if summary.Zone == c.self.Zone {
		c.raiseLocalVersion(Digest{Zone: summary.Zone, Version: summary.Version, Hash: hash})
		c.mergeSelfRecords(summary.Records)
		return
	}
	c.advanceVersion(now, Digest{Zone: summary.Zone, Version: summary.Version, Hash: hash})
	z, known := c.zones[summary.Zone]
	if !known || !supersedes(summary.Version, hash, z) {
		return
	}
	if received := z.hash != 0; received && hash != z.hash && c.isDelegate() {
		c.notePendingPush(summary.Zone, summaryContent{hash: z.hash, records: z.records})
	}
	if summary.Version > z.version {
		z.versionAdvancedAt = now
	}
	previous := z.records
	z.version, z.hash, z.records = summary.Version, hash, summary.Records
	z.disputedDeaths = nil
	for _, r := range summary.Records {
		z.updateLatest(now, r)
	}
	z.updateOmitted(now, previous)
	c.forgetUnnamed(now, z)
	c.viewStale = true
}

// mergeSelfRecords merges the records of this incarnation that other zones hold.
func (c *Core) mergeSelfRecords(records []Record) {
	for _, r := range records {
		if r.Member.Incarnation == c.self.Incarnation {
			c.mergeSelf(r)
		}
	}
}

// updateLatest merges a record of the zone's summary into the latest records. A death
// that the zone reports is accepted at any counter, since the siblings of a dead
// member can know a lower counter of it than other zones do.
func (z *zone) updateLatest(now time.Time, r Record) {
	latest := r
	if previous, found := z.latest[r.Member.Incarnation]; found {
		latest = merge(previous.record, r)
	} else if r.Status != Dead {
		z.declarePredecessorsDead(r.Member.Instance)
	}
	if r.Status == Dead {
		latest.Status = Dead
	}
	z.latest[r.Member.Incarnation] = latestRecord{record: latest, lastNamed: now}
	if latest.Status == Dead && r.Status != Dead {
		z.disputedDeaths = append(z.disputedDeaths, latest)
	}
}

// hashOtherZones returns a hash of the summaries of the other zones and of which of
// them are silent.
func (c *Core) hashOtherZones() uint32 {
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

// SetInstanceList replaces the platform's instance list. If the list turns an
// instance from live to leaving, the known incarnation of the instance counts as
// leaving for good.
func (c *Core) SetInstanceList(instances []instancelist.Instance) {
	listed := make(map[string]instancelist.Instance, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = instance
	}
	for _, member := range c.view.Members {
		previous, current := c.listed[member.Instance].State, listed[member.Instance].State
		if previous == instancelist.Live && current == instancelist.Leaving {
			c.announcedLeaving[member.Incarnation] = true
		}
	}
	c.listed = listed
	for _, z := range c.zones {
		c.declareUnlistedDead(z)
	}
	c.viewStale = true
	c.refresh()
}
