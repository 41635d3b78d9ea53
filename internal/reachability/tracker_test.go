package reachability

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReachability(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reachability")
}

var _ = Describe("Tracker", func() {
	start := time.UnixMilli(1_000_000)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var tracker *Tracker

	BeforeEach(func() { tracker = NewTracker(start) })

	failAt := func(d time.Duration, endpoints int) {
		for i := range endpoints {
			tracker.RecordFailure(at(d), fmt.Sprint("e", i))
		}
	}

	It("asks for no probes while requests are answered or none is made", func() {
		for d := time.Duration(0); d < 5*time.Second; d += 100 * time.Millisecond {
			Expect(tracker.ProbeDue(at(d), 0, 10)).To(BeFalse())
		}
		tracker.RecordAnswer(at(5 * time.Second))
		Expect(tracker.ProbeDue(at(5500*time.Millisecond), 3, 10)).To(BeFalse())
	})

	It("suspects a partition when several endpoints fail at once, not when one does", func() {
		failAt(time.Millisecond, suspiciousEndpoints-1)
		Expect(tracker.ProbeDue(at(2*time.Millisecond), 1, 10)).To(BeFalse())
		failAt(3*time.Millisecond, suspiciousEndpoints)
		Expect(tracker.ProbeDue(at(4*time.Millisecond), 1, 10)).To(BeTrue())
	})

	It("suspects a partition when endpoints fail one after the other and are ejected meanwhile", func() {
		for i := range suspiciousEndpoints {
			tracker.RecordFailure(at(time.Duration(i)*1500*time.Millisecond), fmt.Sprint("e", i))
		}
		Expect(tracker.ProbeDue(at(3100*time.Millisecond), 0, 10)).To(BeTrue())
	})

	It("suspects a partition when endpoints answer on old connections and refuse new ones", func() {
		for i := range suspiciousEndpoints {
			tracker.RecordFailure(at(time.Duration(i)*100*time.Millisecond), fmt.Sprint("e", i))
			tracker.RecordAnswer(at(time.Duration(i)*100*time.Millisecond + 50*time.Millisecond))
		}
		Expect(tracker.ProbeDue(at(400*time.Millisecond), 1, 10)).To(BeTrue())
	})

	It("suspects a partition when the only endpoint fails", func() {
		failAt(time.Millisecond, 1)
		Expect(tracker.ProbeDue(at(2*time.Millisecond), 0, 1)).To(BeTrue())
	})

	It("suspects a partition when requests in flight get no answer", func() {
		Expect(tracker.ProbeDue(at(silenceThreshold), 1, 10)).To(BeTrue())
	})

	It("is partitioned after two rounds without a connection, until one connects", func() {
		failAt(0, suspiciousEndpoints)
		Expect(tracker.ProbeDue(at(0), 1, 10)).To(BeTrue())
		Expect(tracker.RecordRound(at(0), false)).To(BeFalse())
		Expect(tracker.Partitioned()).To(BeFalse())
		Expect(tracker.RecordRound(at(time.Millisecond), false)).To(BeTrue())
		Expect(tracker.Partitioned()).To(BeTrue())

		tracker.RecordAnswer(at(time.Second))
		Expect(tracker.Partitioned()).To(BeTrue(), "an old connection may live on")
		Expect(tracker.ProbeDue(at(time.Second), 0, 10)).To(BeTrue())
		Expect(tracker.RecordRound(at(time.Second), true)).To(BeTrue())
		Expect(tracker.Partitioned()).To(BeFalse())
		Expect(tracker.ProbeDue(at(2*time.Second), 0, 10)).To(BeFalse())
	})

	It("is not partitioned while a probe connects, whatever fails", func() {
		for d := time.Duration(0); d < 10*time.Second; d += probeInterval {
			failAt(d, 9)
			if tracker.ProbeDue(at(d), 5, 10) {
				tracker.RecordRound(at(d), true)
			}
			Expect(tracker.Partitioned()).To(BeFalse())
		}
	})
})
