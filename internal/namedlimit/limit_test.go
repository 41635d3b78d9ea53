package namedlimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lovagescale/internal/namedlimit"
)

var start = time.UnixMilli(1_000_000)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against an endpoint whose limit ends although its last statement was the limit: by time,
// by an answer to an older request, or by news that is older than its statement.
func TestLimitStandsUntilALaterAnswerShowsItsEnd(t *testing.T) {
	g := NewWithT(t)
	var l namedlimit.Limit
	older := l.StampRequest(start)
	g.Expect(l.Hear(at(time.Second), older, 2, true)).To(Equal(namedlimit.Began))
	sent := l.StampRequest(at(2 * time.Second))
	l.Hear(at(3*time.Second), 0, 2, true)
	g.Expect(l.Hear(at(4*time.Second), older, 0, false)).To(Equal(namedlimit.Unchanged), "no limit was known when it was sent")
	g.Expect(l.Hear(at(4*time.Second), sent, 0, false)).To(Equal(namedlimit.Unchanged), "the limit was heard after it was sent")
	g.Expect(l.Apply(at(4*time.Second), namedlimit.News{Ended: sent})).To(Equal(namedlimit.Unchanged))
	g.Expect(l.Stands()).To(BeTrue())
	g.Expect(l.InForce(at(time.Hour))).To(BeTrue())

	g.Expect(l.Hear(at(6*time.Second), l.StampRequest(at(5*time.Second)), 0, false)).To(Equal(namedlimit.Ended))
	g.Expect(l.Rate(at(6*time.Second))).To(BeNumerically("~", 2, 0.01), "the rate rises from the limit on")
	g.Expect(l.Rate(at(8 * time.Second))).To(BeNumerically("~", 8, 0.01))
	g.Expect(l.InForce(at(6*time.Second + 5*time.Second))).To(BeFalse())
}

// Guards against a limit that ends on an instance because of news from before a statement that it
// heard itself, when clocks differ or step back.
func TestNewsIsOrderedByWhatItsInstanceKnew(t *testing.T) {
	g := NewWithT(t)
	var ahead, behind namedlimit.Limit
	ahead.Hear(at(time.Hour), 0, 2, true)
	news, isNew := ahead.Report(at(time.Hour))
	g.Expect(isNew).To(BeTrue())
	behind.Apply(start, news)
	g.Expect(behind.Hear(at(2*time.Second), behind.StampRequest(at(time.Second)), 0, false)).To(Equal(namedlimit.Ended),
		"its clock is an hour behind, but its request was sent after the news")
	end, _ := behind.Report(at(2 * time.Second))
	g.Expect(ahead.Apply(at(time.Hour+time.Second), end)).To(Equal(namedlimit.Ended))
	g.Expect(behind.Hear(at(3*time.Second), 0, 2, true)).To(Equal(namedlimit.Began), "it names the limit again")
	news, _ = behind.Report(at(3 * time.Second))
	g.Expect(ahead.Apply(at(time.Hour+2*time.Second), news)).To(Equal(namedlimit.Began))
}

// Guards against an end that some instances never learn of: one that holds a limit to stand is
// told of the end again by whoever knows it.
func TestEndIsReportedAgainToThoseWhoMissedIt(t *testing.T) {
	g := NewWithT(t)
	var l namedlimit.Limit
	l.Hear(start, 0, 2, true)
	stale, _ := l.Report(start)
	l.Hear(at(2*time.Second), l.StampRequest(at(time.Second)), 0, false)
	_, isNew := l.Report(at(time.Minute))
	g.Expect(isNew).To(BeFalse())
	l.Apply(at(time.Minute), stale)
	news, isNew := l.Report(at(time.Minute))
	g.Expect(isNew).To(BeTrue())
	g.Expect(news.Stands()).To(BeFalse())
}

// Guards against an endpoint that gets nothing for ever because the instances that share its limit
// have no requests for it, and against a burst from all others after a long time without demand.
func TestInstancesThatDoNotSendProbeAfterAQuietTime(t *testing.T) {
	g := NewWithT(t)
	var l namedlimit.Limit
	l.Hear(start, 0, 2, true)
	l.Probe(at(9*time.Second), time.Second, 10, 0)
	g.Expect(l.PermitAvailable(at(9*time.Second))).To(BeFalse(), "the limit was heard lately")
	l.Probe(at(time.Hour), time.Second, 10, 0.05)
	g.Expect(l.PermitAvailable(at(time.Hour))).To(BeFalse(), "it is another instance's turn")
	l.Probe(at(time.Hour), time.Second, 10, 0.005)
	g.Expect(l.PermitAvailable(at(time.Hour+2*time.Second))).To(BeFalse(), "a probe is not saved up")
	l.Probe(at(time.Hour), time.Second, 10, 0.005)
	g.Expect(l.PermitAvailable(at(time.Hour))).To(BeTrue())
	l.TakePermit(at(time.Hour))
	g.Expect(l.PermitAvailable(at(time.Hour))).To(BeFalse())
}

// Guards against a limit that other instances do not learn of because one report is lost, and
// against reports that go on for ever.
func TestLimitIsReportedForATime(t *testing.T) {
	g := NewWithT(t)
	var l namedlimit.Limit
	l.Hear(start, 0, 2, true)
	for after, want := range map[time.Duration]bool{3 * time.Second: true, 5 * time.Second: false} {
		news, isNew := l.Report(at(after))
		g.Expect(isNew).To(Equal(want), "after %v", after)
		g.Expect(news.Stands()).To(BeTrue(), "after %v", after)
	}
}

// Guards against limits below the smallest rate of use, whose end nobody would see.
func TestLimitOfZeroIsUsedNowAndThen(t *testing.T) {
	g := NewWithT(t)
	g.Expect(namedlimit.Senders(0)).To(Equal(1))
	g.Expect(namedlimit.Interval(0, 1)).To(Equal(10 * time.Second))
}

// TestFuzzLimitsConverge lets an endpoint begin and stop naming a limit while instances whose
// clocks differ by up to two seconds send it requests, lose and repeat each other's news, and get
// answers late. Once the endpoint has stated the same for a while and all news is delivered, all
// instances believe what it states.
func TestFuzzLimitsConverge(t *testing.T) {
	type answer struct {
		sent  namedlimit.Stamp
		named bool
		to    int
	}
	rapid.Check(t, func(rt *rapid.T) {
		limits := make([]namedlimit.Limit, rapid.IntRange(2, 6).Draw(rt, "instances"))
		now, named := start, false
		skews := make([]time.Duration, len(limits))
		for i := range skews {
			skews[i] = time.Duration(rapid.IntRange(-2000, 2000).Draw(rt, "skew")) * time.Millisecond
		}
		clock := func(i int) time.Time { return now.Add(skews[i]) }
		var late []answer
		var news []namedlimit.News
		hear := func(a answer) { limits[a.to].Hear(clock(a.to), a.sent, 3, a.named) }
		index := rapid.IntRange(0, len(limits)-1)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			i := index.Draw(rt, "instance")
			a := answer{sent: limits[i].StampRequest(clock(i)), named: named, to: i}
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				named = !named
			case 1:
				hear(a)
			case 2:
				late = append(late, a)
			case 3:
				if len(late) > 0 {
					hear(late[0])
					late = late[1:]
				}
			case 4:
				n, _ := limits[i].Report(clock(i))
				news = append(news, n)
			case 5:
				if len(news) > 0 {
					limits[i].Apply(clock(i), news[rapid.IntRange(0, len(news)-1).Draw(rt, "news")])
				}
			}
		}
		for _, a := range late {
			hear(a)
		}
		for range 2 {
			for i := range limits {
				now = now.Add(time.Second)
				hear(answer{sent: limits[i].StampRequest(clock(i)), named: named, to: i})
				for j := range limits {
					n, _ := limits[i].Report(clock(i))
					limits[j].Apply(clock(j), n)
				}
			}
		}
		for i := range limits {
			if limits[i].Stands() != named {
				rt.Fatalf("instance %d believes that the limit stands: %v; the endpoint names it: %v", i, limits[i].Stands(), named)
			}
		}
	})
}
