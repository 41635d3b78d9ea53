package membership

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

func (c *Core) judgeZones(now time.Time) {
	limit := c.silenceLimit()
	for _, z := range c.zones {
		silent := now.Sub(z.advancedAt) > limit
		if silent != z.silent {
			z.silent = silent
			c.buryUnlisted(z)
			c.changed = true
		}
	}
}

// judgeOmitted declares dead what a zone has left out for as long as it takes to
// judge a death there.
func (c *Core) judgeOmitted(now time.Time) {
	limit := c.options.SuspectAfter + c.options.ListedDeadAfter
	for _, z := range c.zones {
		for incarnation, since := range z.omitted {
			if now.Sub(since) > limit {
				delete(z.omitted, incarnation)
				z.bury(incarnation)
				c.changed = true
			}
		}
	}
}

func (z *zone) bury(incarnation string) {
	s, known := z.seen[incarnation]
	if !known || s.record.Status == Dead {
		return
	}
	s.record.Status = Dead
	z.seen[incarnation] = s
	z.doubted = append(z.doubted, s.record)
}

// buryUnlisted declares dead what is neither heard nor listed.
func (c *Core) buryUnlisted(z *zone) {
	if !z.silent || len(c.list) == 0 {
		return
	}
	for incarnation, s := range z.seen {
		if _, listed := c.list[s.record.Member.Instance]; !listed {
			z.bury(incarnation)
		}
	}
}

// forget drops what was seen of incarnations that are no longer named.
func (c *Core) forget(now time.Time, z *zone) {
	for incarnation, s := range z.seen {
		if now.Sub(s.at) > c.options.DeadRetention && !z.names(incarnation) {
			delete(z.seen, incarnation)
			delete(c.left, incarnation)
		}
	}
}

func (z *zone) names(incarnation string) bool {
	return slices.ContainsFunc(z.records, func(r Record) bool { return r.Member.Incarnation == incarnation })
}

// roundsPerDoubling is the number of gossip intervals by which the silence
// limit grows for each doubling of the number of zones.
const roundsPerDoubling = 2

// silenceLimit is ZoneSilence above the time that a version takes to spread.
func (c *Core) silenceLimit() time.Duration {
	rounds := roundsPerDoubling * bits.Len(uint(len(c.zones)))
	return c.options.ZoneSilence + time.Duration(rounds)*c.gossipInterval()
}

// tickDoubts returns the doubts that are due, at most once in a gossip interval.
func (c *Core) tickDoubts(now time.Time) []Outgoing {
	if now.Sub(c.doubtAt) < c.gossipInterval() {
		return nil
	}
	c.doubtAt = now
	return c.doubts(now)
}

// doubts tells those that are shown alive again after their death was known, so
// that they raise their counter.
func (c *Core) doubts(now time.Time) []Outgoing {
	var out []Outgoing
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if c.zones[name].silent {
			continue
		}
		for _, r := range c.zones[name].doubted {
			out = append(out, c.carry(now, r.Member.Link, []Summary{{Zone: name, Records: []Record{r}}}))
		}
	}
	return out
}

// adoptSilence takes the delegate's judgement of silent zones.
func (c *Core) adoptSilence(now time.Time, silent []string) {
	for name, z := range c.zones {
		z.silent = slices.Contains(silent, name)
		c.buryUnlisted(z)
		z.advancedAt = now
	}
	c.changed = true
}

// noteOmitted compares the summary with the one before it.
func (z *zone) noteOmitted(now time.Time, previous []Record) {
	named := make(map[string]bool, len(z.records))
	for _, r := range z.records {
		named[r.Member.Incarnation] = true
		delete(z.omitted, r.Member.Incarnation)
	}
	for _, r := range previous {
		incarnation := r.Member.Incarnation
		if !named[incarnation] && z.seen[incarnation].record.Status != Dead {
			z.omitted[incarnation] = now
		}
	}
}

// buryPredecessors declares dead the earlier incarnations of an instance of which
// a new one has appeared.
func (z *zone) buryPredecessors(instance string) {
	for incarnation, s := range z.seen {
		if s.record.Member.Instance == instance {
			z.bury(incarnation)
		}
	}
}
