package membership

// content is the records of a summary with their hash.
type content struct {
	hash    uint32
	records []Record
}

// notePush remembers the content before the first change that is not pushed yet.
func (c *Core) notePush(name string, before content) {
	if _, noted := c.push[name]; !noted {
		c.push[name] = before
	}
}

// change returns what turns the earlier content of a zone into the present one,
// or the whole summary when a change cannot say it.
func (c *Core) change(name string, before content) (Summary, bool) {
	whole, known := c.summary(name)
	if !known || before.hash == 0 {
		return whole, known
	}
	earlier := make(map[string]Record, len(before.records))
	for _, r := range before.records {
		earlier[r.Member.Incarnation] = r
	}
	var changed []Record
	for _, r := range whole.Records {
		if earlier[r.Member.Incarnation] != r {
			changed = append(changed, r)
		}
		delete(earlier, r.Member.Incarnation)
	}
	for _, left := range earlier {
		if left.Status != Dead {
			return whole, true
		}
	}
	return Summary{
		Zone:    name,
		Version: whole.Version,
		Records: changed,
		Base:    before.hash,
		Hash:    hashRecords(whole.Records),
	}, true
}

// applyChange returns the whole summary that a change makes of the content held.
// It reports false for a change of another content; the next comparison brings
// the whole.
func (c *Core) applyChange(change Summary) (Summary, bool) {
	z, known := c.zones[change.Zone]
	if !known || z.hash != change.Base {
		return Summary{}, false
	}
	changed := make(map[string]bool, len(change.Records))
	for _, r := range change.Records {
		changed[r.Member.Incarnation] = true
	}
	var records []Record
	for _, r := range z.records {
		if r.Status != Dead && !changed[r.Member.Incarnation] {
			records = append(records, r)
		}
	}
	records = append(records, change.Records...)
	if hashRecords(records) != change.Hash {
		return Summary{}, false
	}
	return Summary{Zone: change.Zone, Version: change.Version, Records: records}, true
}
