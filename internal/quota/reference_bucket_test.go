package quota

import "time"

// referenceBucket is a single token bucket for a whole quota. Its rate and burst are
// the highest that any core had in use within the lifetime of a grant.
type referenceBucket struct {
	level     float64
	updatedAt time.Time
	limits    []limitInUse
}

type limitInUse struct {
	Limit
	until time.Time
}

func (b *referenceBucket) addLimit(limit Limit, until time.Time) {
	for i := range b.limits {
		if b.limits[i].Limit == limit {
			b.limits[i].until = until
			return
		}
	}
	b.limits = append(b.limits, limitInUse{limit, until})
}

func (b *referenceBucket) highestLimit(now time.Time) Limit {
	var highest Limit
	for _, l := range b.limits {
		if l.until.After(now) {
			highest = Limit{max(highest.Rate, l.Rate), max(highest.Burst, l.Burst)}
		}
	}
	return highest
}

func (b *referenceBucket) take(now time.Time) bool {
	limit := b.highestLimit(now)
	b.level = min(limit.Burst, b.level+limit.Rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	const rounding = 1e-3
	if b.level < 1-rounding {
		return false
	}
	b.level--
	return true
}
