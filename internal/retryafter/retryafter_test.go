package retryafter

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

const second = time.Second

// warmUp is the time in which all instances have had enough requests to recognise returns.
const warmUp = 6 * second

var refusedFirst = Refused{Upstream: "u", Route: "r", Timeout: 3 * second, TimeLeft: 3 * second}

// newBookOfRoute returns a book that recognises returns on the route of refusedFirst.
func newBookOfRoute() *Schedule {
	b := NewSchedule()
	for range minTimeoutSamples {
		b.Observe("r", 3*second)
	}
	return b
}

func ratio(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// Guards against promises without capacity behind them, against more promises than the
// part of the capacity that may be promised, and against waits that say something else than
// whether a place was free.
func TestFuzzPromisesAreKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := time.Duration(rapid.IntRange(200, 1200).Draw(rt, "service ms")) * time.Millisecond
		instances, endpoints := rapid.IntRange(1, 61).Draw(rt, "instances"), rapid.IntRange(60, 200).Draw(rt, "endpoints")
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), instances, endpoints, service,
			time.Duration(rapid.IntRange(3, 8).Draw(rt, "timeout s"))*second)
		load := rapid.Float64Range(0.7, 1.7).Draw(rt, "load")
		s.run(warmUp, load, 0, 0)
		s.count()
		s.run(6*second, load, 0, 0)
		if s.followed > 500 && ratio(s.kept, s.followed) < 0.95 {
			rt.Fatalf("%d of %d promises were kept", s.kept, s.followed)
		}
		if s.wrongWait > 0 {
			rt.Fatalf("a wait of %v does not say whether a place was free", s.wrongWait)
		}
		const window = 20 // of 100 ms
		for begin := range s.promised {
			sum := 0
			for i := range time.Duration(window) {
				sum += s.promised[begin+i*100*time.Millisecond]
			}
			// Two intervals of an instance differ by at most their random part.
			if allowed := 2*promisedFraction*s.capacity()*1.1 + 2*float64(instances); float64(sum) > allowed {
				rt.Fatalf("%d places were promised in 2 s from %v, allowed %.0f", sum, begin, allowed)
			}
		}
	})
}

// Guards against times that help nobody: with promises, fewer callers are refused twice
// than with random times, most of all after a burst.
func TestPromisesSpareSecondRefusals(t *testing.T) {
	for name, burst := range map[string]float64{"burst": 2, "lasting overload": 1.3} {
		t.Run(name, func(t *testing.T) {
			g, afterwards := NewWithT(t), burst
			if name == "burst" {
				afterwards = 0.7
			}
			twice := make(map[bool]int)
			for _, blind := range []bool{true, false} {
				s := newSimulation(5, 33, 120, 400*time.Millisecond, 4*second)
				s.blind = blind
				s.run(warmUp, 0.7, 0, 0)
				s.count()
				for range 6 {
					s.run(second, burst, 0, 0)
					s.run(5*second, afterwards, 0, 0)
				}
				twice[blind] = s.twice[asTold]
				if !blind {
					g.Expect(ratio(s.kept, s.followed)).To(BeNumerically(">=", 0.95))
				}
			}
			if name == "burst" {
				g.Expect(twice[false]).To(BeNumerically("<", twice[true]*4/5))
			} else {
				g.Expect(twice[false]).To(BeNumerically("<=", twice[true]))
			}
		})
	}
}

// Guards against a gain from returning at once or long before the time named.
func TestEarlyReturnsGainNothing(t *testing.T) {
	for _, instances := range []int{1, 5, 33, 61} {
		for _, load := range []float64{1, 1.3, 1.6} {
			g := NewWithT(t)
			s := newSimulation(3, instances, 122, 400*time.Millisecond, 4*second)
			s.run(warmUp, load, 0.2, 0.2)
			s.count()
			s.run(10*second, load, 0.2, 0.2)
			asToldServed := ratio(s.served[asTold], s.first[asTold])
			g.Expect(ratio(s.served[immediately], s.first[immediately])).To(BeNumerically("<", asToldServed))
			g.Expect(ratio(s.served[tooEarly], s.first[tooEarly])).To(BeNumerically("<", asToldServed))
			g.Expect(ratio(s.kept, s.followed)).To(BeNumerically(">=", 0.95), "others do not take the places")
		}
	}
}

// Guards against a wave of returns at the end of an outage that is known beforehand.
func TestReturnsAfterOutageAreSpread(t *testing.T) {
	const load = 1.2
	s := newSimulation(4, 33, 120, 400*time.Millisecond, 4*second)
	s.run(10*second, load, 0, 0)
	s.opensAt = s.now + second // its last second
	s.run(4*second, load, 0, 0)
	for at, n := range s.returned {
		if arrivals := load * s.capacity() / 10; float64(n) > 1.5*arrivals {
			t.Errorf("%d callers returned in 100 ms from %v, beside %.0f new ones", n, at-s.opensAt, arrivals)
		}
	}
}

// Guards against a wave of returns after a restart of all instances, whose first promises
// are made at the same time.
func TestRestartedInstancesPromiseDifferentTimes(t *testing.T) {
	random, tenths := rand.New(rand.NewPCG(8, 1)), make(map[time.Duration]int)
	for range 200 {
		b := newBookOfRoute()
		b.SetCapacity(at(0), "u", Capacity{Slots: 100, ServiceTime: second / 10, Share: 0.01, Demand: 100})
		if wait, ok := b.Promise(at(0), refusedFirst, random.Float64()); ok {
			tenths[wait.Truncate(second/10)]++
		}
	}
	for tenth, n := range tenths {
		if n > 50 { // a place every 0.67 s leaves 30 for 100 ms on the average
			t.Errorf("%d of 200 instances promised the 100 ms from %v", n, tenth)
		}
	}
}

// Guards against places for callers that pretend to return: however many they are, as many
// get a place as were promised, and maxDebt more once.
func TestPretendedReturnsGetNoMorePlacesThanPromised(t *testing.T) {
	g := NewWithT(t)
	b, promised, redeemed := NewSchedule(), 0, 0
	for tick := range 4000 { // of 10 ms
		now := at(time.Duration(tick) * 10 * time.Millisecond)
		b.SetCapacity(now, "u", Capacity{Slots: 100, ServiceTime: second, Share: 0.1, Demand: 100})
		b.Observe("r", 3*second)
		if _, ok := b.Promise(now, refusedFirst, 0.5); ok {
			promised++
		}
		if pretended := 2300 * time.Millisecond; b.Observe("r", pretended) == Returning && b.Redeem(now, "u", "r", pretended) {
			redeemed++
		}
	}
	g.Expect(promised).To(BeNumerically("~", 1.5*40, 5), "a share of a tenth of 0.15 of 100 per second")
	g.Expect(redeemed).To(BeNumerically("<=", promised+maxDebt))
	g.Expect(redeemed).To(BeNumerically(">", promised/2), "so that the bound was tried")
}

// Guards against callers with shorter timeouts of their own that are taken for returns.
func TestDifferingTimeoutsAreNotRecognised(t *testing.T) {
	g := NewWithT(t)
	b, random := NewSchedule(), rand.New(rand.NewPCG(6, 1))
	for i := range 400 {
		two := 3 * second // two groups of callers, without refusals
		if i%5 < 2 {
			two = 2500 * time.Millisecond
		}
		ofTwo, many := b.Observe("two", two), b.Observe("many", second+time.Duration(random.Float64()*float64(3*second)))
		g.Expect(many).To(Equal(Unknown))
		if i >= 200 {
			g.Expect(ofTwo).To(Equal(Unknown))
		}
	}
	g.Expect(b.Describe(at(0)).UsualTimeoutMillis).To(And(HaveKeyWithValue("two", int64(0)), HaveKeyWithValue("many", int64(0))))
}

// Guards against a promise whose capacity is not known any more, and against one to a
// caller that has returned already.
func TestNothingIsPromisedWithoutNeed(t *testing.T) {
	g := NewWithT(t)
	b, refused := newBookOfRoute(), refusedFirst
	wait, ok := b.Promise(at(0), refused, 0)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeZero(), "no capacity is known")
	b.SetCapacity(at(0), "u", Capacity{Slots: 100, ServiceTime: second / 10, Share: 1})
	_, ok = b.Promise(at(0), refused, 0)
	g.Expect(ok).To(BeTrue())
	g.Expect(b.ReservedFraction(at(minPromise), "u")).To(BeNumerically("~", 0.01))
	g.Expect(b.ReservedFraction(at(minPromise+second), "u")).To(BeZero())
	refused.Timeout, refused.TimeLeft = 2200*time.Millisecond, 2200*time.Millisecond
	wait, ok = b.Promise(at(second), refused, 0)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNumerically(">", LongestWait(refused.TimeLeft)))
	wait, _ = b.Promise(at(capacityLifetime+second), refused, 0)
	g.Expect(wait).To(BeZero())
}

// Guards against callers over their rate that all return for the same token.
func TestSpacingSpreadsReturnsOverTheRate(t *testing.T) {
	g := NewWithT(t)
	s, last := NewSpacing(), time.Duration(0)
	for i := range 4 {
		wait := s.Next(at(0), "w", 4, 3*second, 200*time.Millisecond, 0.5)
		g.Expect(wait).To(Equal(200*time.Millisecond + time.Duration(i)*250*time.Millisecond))
		last = wait
	}
	g.Expect(last).To(BeNumerically("<=", LongestWait(3*second)))
	g.Expect(s.Next(at(0), "w", 4, 3*second, 200*time.Millisecond, 0.5)).To(BeNumerically(">", LongestWait(3*second)))
	g.Expect(s.Next(at(10*second), "w", 4, 3*second, 0, 0.5)).To(Equal(minPromise), "tokens that were not waited for remain")
}

// A caller that states an hour as its timeout was told to return after 22 minutes, and the
// places up to then were assigned before those of other callers of its workspace.
func TestNamedTimesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := NewSpacing()
	longest := maxPromise + 2*margin(maxPromise)
	for range 300 {
		g.Expect(s.Next(at(0), "w", 1, time.Hour, 0, 0.9)).To(BeNumerically("<=", longest))
	}
	g.Expect(noPlace(time.Hour, 0, 0.9)).To(BeNumerically("<=", longest))
	g.Expect(noPlace(3*second, 0, 0)).To(BeNumerically(">", LongestWait(3*second)), "no place is free in the caller's time")
}
