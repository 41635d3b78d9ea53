package quota

import "time"

// oracle is the true bucket. Rate and burst are the highest that any core had
// in force within the life of a grant.
type oracle struct {
	level float64
	at    time.Time
	inUse []limitAt
}

type limitAt struct {
	Limit
	until time.Time
}

func (o *oracle) use(limit Limit, until time.Time) {
	for i := range o.inUse {
		if o.inUse[i].Limit == limit {
			o.inUse[i].until = until
			return
		}
	}
	o.inUse = append(o.inUse, limitAt{limit, until})
}

func (o *oracle) bound(now time.Time) Limit {
	var bound Limit
	for _, l := range o.inUse {
		if l.until.After(now) {
			bound = Limit{max(bound.Rate, l.Rate), max(bound.Burst, l.Burst)}
		}
	}
	return bound
}

func (o *oracle) take(now time.Time) bool {
	bound := o.bound(now)
	o.level = min(bound.Burst, o.level+bound.Rate*now.Sub(o.at).Seconds())
	o.at = now
	const rounding = 1e-3
	if o.level < 1-rounding {
		return false
	}
	o.level--
	return true
}
