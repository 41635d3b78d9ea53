// Package namedlimit keeps the limits that endpoints name in their answers: how many requests a
// second an endpoint takes from all instances together, for as long as it says so.
//
// A few instances send requests under a limit, each at its own pace, and the others send the
// endpoint nothing; package fleet says which. So no message is needed for a request. Instances
// tell each other what they heard. Statements are ordered by stamps and not by when news of
// them arrives, see Stamp.
//
// A limit stands until an answer shows its end, for as long as it takes: instances that hear
// nothing of the endpoint keep to it. Once it has ended, the rate rises over releaseTime, so
// that an endpoint that names it again gets little more than it takes.
//
// Failure modes: an instance that sends nothing under a limit and hears nothing of it for
// quietTime is allowed a request now and then, at probeRate over all instances, since those that
// send may have no requests for the endpoint. Reports of builds that know no stamps are ignored;
// an instance then learns of a limit with its own first answer.
package namedlimit

import (
	"math"
	"time"
)

const (
	// minRate is the rate, in requests per second, with which an endpoint is used that names
	// a smaller limit. Without requests nobody would learn that the limit has ended.
	minRate = 0.1
	// releaseTime is the time in which the rate rises after the end of a limit, releaseDoubling
	// the time in which it doubles.
	releaseTime     = 5 * time.Second
	releaseDoubling = time.Second
	// reportTime is how long an instance reports what it has heard. It covers several reports,
	// of which some may be lost.
	reportTime = 4 * time.Second
	// quietTime is the time without news of a limit after which an instance that sends nothing
	// under it is allowed a request now and then.
	quietTime = 10 * time.Second
	// probeRate is the rate of those requests over all instances, in requests per second.
	probeRate = 0.4
	// probeWindow is how long such a request is allowed: only instances that have a request
	// for the endpoint can use it.
	probeWindow = time.Second
)

// Senders returns how many instances may send requests under a limit, in requests per second.
// Each of them may have one request saved up, so that in d seconds the endpoint gets at most
// Senders + d x perSecond requests.
func Senders(perSecond float64) int {
	const sendersPerRate = 2
	return max(int(sendersPerRate*perSecond), 1)
}

// Interval returns the time between two requests of each of several instances that share a
// limit.
func Interval(perSecond float64, senders int) time.Duration {
	return time.Duration(float64(senders) / max(perSecond, minRate) * float64(time.Second))
}

// Stamp orders the statements of one run of an endpoint over all instances. It is the time of
// day in Unix milliseconds, but always above the stamps that its instance knew before. A
// statement that was made after its instance had heard of another one therefore has the higher
// stamp, whatever the clocks of the instances show. 0 stands for none.
type Stamp uint64

// News is what an instance knows of a limit.
type News struct {
	// PerSecond is the limit in requests per second.
	PerSecond float32
	// Named is the stamp of the last answer known that named the limit, Ended that of the last
	// request known whose answer named none.
	Named, Ended Stamp
}

// Change is how news changed what an instance believes of a limit.
type Change uint8

// The changes of a limit.
const (
	Unchanged Change = iota
	// Began is a limit that did not stand before.
	Began
	// Adjusted is a limit that stood with another rate before.
	Adjusted
	// Ended is the end of a limit. Its rate rises from now on.
	Ended
)

// Limit is the limit of one run of an endpoint and an instance's part of it. The zero value is
// that of an endpoint that has named none. It is not safe for concurrent use.
type Limit struct {
	news News
	// clock is the highest stamp known.
	clock Stamp
	// newsAt is when the limit was last heard of, endedAt when its end was.
	newsAt, endedAt time.Time
	reportUntil     time.Time
	// interval is the time between two requests of this instance, or 0 while only others send.
	interval   time.Duration
	nextPermit time.Time
	// probeUntil is until when an instance that does not send is allowed one request.
	probeUntil time.Time
}

// tick returns a stamp above all known ones.
func (l *Limit) tick(now time.Time) Stamp {
	l.clock = max(l.clock+1, Stamp(now.UnixMilli()))
	return l.clock
}

// Stands reports whether the endpoint names the limit as far as is known.
func (l *Limit) Stands() bool { return l.news.Stands() }

// InForce reports whether the limit restricts requests: it stands, or has ended lately.
func (l *Limit) InForce(now time.Time) bool { return l.Stands() || now.Before(l.ReleasedAt()) }

// ReleasedAt returns when the limit no longer restricts requests after its end. It is the zero
// time if no limit has ended.
func (l *Limit) ReleasedAt() time.Time {
	if l.endedAt.IsZero() {
		return time.Time{}
	}
	return l.endedAt.Add(releaseTime)
}

// Rate returns the rate at which all instances together send requests, in requests per second.
func (l *Limit) Rate(now time.Time) float64 {
	perSecond := float64(l.news.PerSecond)
	if l.Stands() {
		return perSecond
	}
	doublings := float64(now.Sub(l.endedAt)) / float64(releaseDoubling)
	return max(perSecond, minRate) * math.Exp2(doublings)
}

// StampRequest returns the stamp of a request that is sent now. It is 0 while no limit is known:
// the answer cannot show the end of one.
func (l *Limit) StampRequest(now time.Time) Stamp {
	if l.news.Named == 0 {
		return 0
	}
	return l.tick(now)
}

// Hear applies an answer to a request with the given stamp, which names the limit in requests
// per second or none.
func (l *Limit) Hear(now time.Time, sent Stamp, perSecond float64, named bool) Change {
	news := l.news
	switch {
	case named:
		news.Named, news.PerSecond = l.tick(now), float32(perSecond)
	case !l.InForce(now) || sent <= news.Ended:
		return Unchanged
	default:
		news.Ended = sent
	}
	l.reportUntil = now.Add(reportTime)
	return l.apply(now, news)
}

// Apply applies the news of another instance.
func (l *Limit) Apply(now time.Time, news News) Change {
	l.clock = max(l.clock, news.Named, news.Ended)
	missedEnd := news.Stands() && news.Named < l.news.Ended && !l.Stands()
	change := l.apply(now, news)
	if missedEnd || change == Began || change == Ended {
		l.reportUntil = now.Add(reportTime)
	}
	return change
}

// apply merges news and reports how that changed the limit.
func (l *Limit) apply(now time.Time, news News) Change {
	perSecond, stood := l.news.PerSecond, l.Stands()
	if news.Named > l.news.Named {
		l.news.Named, l.news.PerSecond = news.Named, news.PerSecond
		l.newsAt = now
	}
	l.news.Ended = max(l.news.Ended, news.Ended)
	stands := l.Stands()
	switch {
	case stands && !stood:
		l.interval, l.probeUntil = 0, time.Time{} // this instance does not know its part yet
		return Began
	case stood && !stands:
		l.endedAt = now
		return Ended
	case stands && l.news.PerSecond != perSecond:
		return Adjusted
	}
	return Unchanged
}

// Report returns what is known of the limit, and whether other instances must learn it from
// this one because it is new. It is the zero value if no limit is known.
func (l *Limit) Report(now time.Time) (news News, isNew bool) {
	return l.news, now.Before(l.reportUntil)
}

// Stands reports whether the news holds the limit to stand.
func (n News) Stands() bool { return n.Named > n.Ended }

// SetInterval sets the time between two requests of this instance, or 0 if it sends none.
func (l *Limit) SetInterval(now time.Time, interval time.Duration) {
	if l.interval == 0 && interval > 0 {
		l.nextPermit = now.Add(interval) // the sender before this one may have used the last permit just now
	}
	l.interval = interval
}

// Interval returns the time between two requests of this instance, or 0 if it sends none.
func (l *Limit) Interval() time.Duration { return l.interval }

// Probe allows an instance that sends nothing under the limit a request now and then, if it has
// heard nothing of the limit for quietTime, and for longer than those that send pause between two
// requests. It is called at a regular interval with a random number from [0, 1); instances is the
// number of those that do the same.
func (l *Limit) Probe(now time.Time, interval time.Duration, instances int, random float64) {
	quiet := max(quietTime, 2*Interval(float64(l.news.PerSecond), 1))
	if l.interval > 0 || !l.Stands() || now.Sub(l.newsAt) < quiet {
		return
	}
	if random < probeRate*interval.Seconds()/float64(max(instances, 1)) {
		l.probeUntil = now.Add(probeWindow)
	}
}

// PermitAvailable reports whether this instance may send a request now.
func (l *Limit) PermitAvailable(now time.Time) bool {
	if l.interval == 0 {
		return now.Before(l.probeUntil)
	}
	return !now.Before(l.nextPermit)
}

// TakePermit uses the permit of a request.
func (l *Limit) TakePermit(now time.Time) {
	l.probeUntil = time.Time{}
	l.nextPermit = now.Add(l.interval)
}

// LastNews returns when this instance last learned of an answer that named the limit. It is
// the zero time if there was none.
func (l *Limit) LastNews() time.Time { return l.newsAt }
