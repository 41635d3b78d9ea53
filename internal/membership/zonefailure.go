package membership

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

// updateSilentZones updates which zones are silent: those whose version has not advanced
// within the silence limit.
func (c *Core) updateSilentZones(now time.Time) {
	limit := c.silenceLimit()
	for _, z := range c.zones {
		silent := now.Sub(z.versionAdvancedAt) > limit
		if silent != z.silent {
			z.silent = silent
			c.declareUnlistedDead(z)
			c.viewStale = true
		}
	}
}

// expireOmitted declares members dead that their zone's summary has omitted for as
// long as the zone takes to declare a member dead.
func (c *Core) expireOmitted(now time.Time) {
	limit := c.options.SuspectAfter + c.options.ListedDeadAfter
	for _, z := range c.zones {
		for incarnation, since := range z.omittedSince {
			if now.Sub(since) > limit {
				delete(z.omittedSince, incarnation)
				z.declareDead(incarnation)
				c.viewStale = true
			}
		}
	}
}

// declareDead marks the latest record of the incarnation as dead although the zone
// has not reported its death.
func (z *zone) declareDead(incarnation string) {
	latest, known := z.latest[incarnation]
	if !known || latest.record.Status == Dead {
		return
	}
	latest.record.Status = Dead
	z.latest[incarnation] = latest
	z.disputedDeaths = append(z.disputedDeaths, latest.record)
}

// declareUnlistedDead declares the members of a silent zone dead that the platform
// does not list. It does nothing while no list is known.
func (c *Core) declareUnlistedDead(z *zone) {
	if !z.silent || len(c.listed) == 0 {
		return
	}
	for incarnation, latest := range z.latest {
		if _, listed := c.listed[latest.record.Member.Instance]; !listed {
			z.declareDead(incarnation)
		}
	}
}

// forgetUnnamed drops the latest records of incarnations that no summary has named
// for DeadRetention.
func (c *Core) forgetUnnamed(now time.Time, z *zone) {
	for incarnation, latest := range z.latest {
		if now.Sub(latest.lastNamed) > c.options.DeadRetention && !z.contains(incarnation) {
			delete(z.latest, incarnation)
			delete(c.announcedLeaving, incarnation)
		}
	}
}

// contains reports whether the latest summary names the incarnation.
func (z *zone) contains(incarnation string) bool {
	return slices.ContainsFunc(z.records, func(r Record) bool { return r.Member.Incarnation == incarnation })
}

// roundsPerDoubling is the number of gossip intervals by which the silence limit
// grows for each doubling of the number of zones.
const roundsPerDoubling = 2

// silenceLimit returns the time without a new version after which a zone is silent:
// ZoneSilence plus the time that a version takes to spread through all zones.
func (c *Core) silenceLimit() time.Duration {
	rounds := roundsPerDoubling * bits.Len(uint(len(c.zones)))
	return c.options.ZoneSilence + time.Duration(rounds)*c.gossipInterval()
}

// tickDeathNotices returns the death notices that are due, at most once per gossip
// interval.
func (c *Core) tickDeathNotices(now time.Time) []Outgoing {
	if now.Sub(c.lastDeathNotices) < c.gossipInterval() {
		return nil
	}
	c.lastDeathNotices = now
	return c.deathNotices(now)
}

// deathNotices returns requests that notify the members whose death is disputed, so
// that those that are alive raise their counter and are accepted as members again.
// Members of silent zones are left out.
func (c *Core) deathNotices(now time.Time) []Outgoing {
	var out []Outgoing
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if c.zones[name].silent {
			continue
		}
		for _, r := range c.zones[name].disputedDeaths {
			out = append(out, c.newSummariesRequest(now, r.Member.Link, []Summary{{Zone: name, Records: []Record{r}}}))
		}
	}
	return out
}

// adoptSilentZones sets which zones are silent as reported by the delegate. Only
// delegates measure the silence of zones themselves.
func (c *Core) adoptSilentZones(now time.Time, silent []string) {
	for name, z := range c.zones {
		z.silent = slices.Contains(silent, name)
		c.declareUnlistedDead(z)
		z.versionAdvancedAt = now
	}
	c.viewStale = true
}

// updateOmitted records which incarnations of the previous summary the current one
// omits although they are not dead, and clears those that it names.
func (z *zone) updateOmitted(now time.Time, previous []Record) {
	named := make(map[string]bool, len(z.records))
	for _, r := range z.records {
		named[r.Member.Incarnation] = true
		delete(z.omittedSince, r.Member.Incarnation)
	}
	for _, r := range previous {
		incarnation := r.Member.Incarnation
		if !named[incarnation] && z.latest[incarnation].record.Status != Dead {
			z.omittedSince[incarnation] = now
		}
	}
}

// declarePredecessorsDead declares the known incarnations of the instance dead, when
// a new incarnation has appeared.
func (z *zone) declarePredecessorsDead(instance string) {
	for incarnation, s := range z.latest {
		if s.record.Member.Instance == instance {
			z.declareDead(incarnation)
		}
	}
}
