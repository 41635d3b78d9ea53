package membership

// summaryContent holds the records of a summary and their hash.
type summaryContent struct {
	hash    uint32
	records []Record
}

// notePendingPush schedules a push of the zone's summary. It keeps the content before
// the first change that has not been pushed yet as the base of the delta.
func (c *Core) notePendingPush(name string, base summaryContent) {
	if _, noted := c.pendingPushes[name]; !noted {
		c.pendingPushes[name] = base
	}
}

// delta returns the delta from the base content of a zone to its current summary. It
// returns the full summary if the base is empty or a delta cannot express the
// change, because a record was removed that was not dead.
func (c *Core) delta(name string, base summaryContent) (Summary, bool) {
	full, known := c.summary(name)
	if !known || base.hash == 0 {
		return full, known
	}
	baseRecords := make(map[string]Record, len(base.records))
	for _, r := range base.records {
		baseRecords[r.Member.Incarnation] = r
	}
	var changed []Record
	for _, r := range full.Records {
		if baseRecords[r.Member.Incarnation] != r {
			changed = append(changed, r)
		}
		delete(baseRecords, r.Member.Incarnation)
	}
	for _, removed := range baseRecords {
		if removed.Status != Dead {
			return full, true
		}
	}
	return Summary{
		Zone:     name,
		Version:  full.Version,
		Records:  changed,
		BaseHash: base.hash,
		Hash:     hashRecords(full.Records),
	}, true
}

// applyDelta returns the full summary that results from applying the delta to the
// content held. It reports false if the delta has another base; the next comparison
// then transfers the full summary.
func (c *Core) applyDelta(delta Summary) (Summary, bool) {
	z, known := c.zones[delta.Zone]
	if !known || z.hash != delta.BaseHash {
		return Summary{}, false
	}
	changed := make(map[string]bool, len(delta.Records))
	for _, r := range delta.Records {
		changed[r.Member.Incarnation] = true
	}
	var records []Record
	for _, r := range z.records {
		if r.Status != Dead && !changed[r.Member.Incarnation] {
			records = append(records, r)
		}
	}
	records = append(records, delta.Records...)
	if hashRecords(records) != delta.Hash {
		return Summary{}, false
	}
	return Summary{Zone: delta.Zone, Version: delta.Version, Records: records}, true
}
