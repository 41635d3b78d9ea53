package bodymemory

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Closing connections that do not free enough, or of callers that have only begun to read,
// harms them without a gain for anyone.
func TestSlowestReadersAreChosen(t *testing.T) {
	reader := func(held, read int64, age time.Duration) readerState {
		return readerState{held: held, bytesRead: read, age: age}
	}
	for _, c := range []struct {
		name    string
		readers []readerState
		need    int64
		want    []int
	}{
		{"nobody reads", nil, 1, nil},
		{"all are too young", []readerState{reader(100, 0, minReaderAge-1)}, 1, nil},
		{"the lowest rate, not the fewest bytes", []readerState{reader(100, 50, 2*time.Second), reader(100, 60, 20*time.Second)}, 100, []int{1}},
		{"a young one is slower", []readerState{reader(100, 0, time.Second), reader(100, 90, 3*time.Second)}, 10, []int{1}},
		{"of equally slow ones the largest", []readerState{reader(10, 0, 3*time.Second), reader(100, 0, 2*time.Second)}, 5, []int{1}},
		{"as many as are needed", []readerState{reader(50, 9, 3*time.Second), reader(50, 6, 3*time.Second), reader(50, 3, 3*time.Second)}, 60, []int{2, 1}},
		{"all together are not enough", []readerState{reader(50, 0, 3*time.Second), reader(50, 0, 3*time.Second)}, 101, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(slowestReaders(c.readers, c.need)).To(Equal(c.want))
		})
	}
}

// An instance must not run a collection after each small peak, nor keep the memory of a
// large one.
func TestMemoryIsTrimmedAfterPeaks(t *testing.T) {
	g := NewWithT(t)
	var trim trimmer
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	const limit = 800
	g.Expect(trim.due(at(0), 0, 99, limit)).To(BeFalse(), "the peak was small")
	g.Expect(trim.due(at(0), 25, 100, limit)).To(BeFalse(), "use is not low")
	g.Expect(trim.due(at(0), 24, 100, limit)).To(BeFalse(), "use has only become low")
	g.Expect(trim.due(at(trimDelay/2), 25, 100, limit)).To(BeFalse())
	g.Expect(trim.due(at(trimDelay), 24, 100, limit)).To(BeFalse(), "use was higher meanwhile")
	g.Expect(trim.due(at(2*trimDelay), 24, 100, limit)).To(BeTrue())
	g.Expect(trim.due(at(3*trimDelay), 0, 100, limit)).To(BeFalse())
	g.Expect(trim.due(at(5*trimDelay), 0, 100, limit)).To(BeFalse(), "the last collection was a moment ago")
	g.Expect(trim.due(at(2*trimDelay+trimInterval), 0, 100, limit)).To(BeTrue())
}

// One large response must not reserve the memory of many others for long.
func TestExpectedSizeIsADecayingMaximum(t *testing.T) {
	g := NewWithT(t)
	s := NewSizes(64 << 20)
	g.Expect(s.Expected("files")).To(BeZero())
	s.Observe("files", 1500)
	s.Observe("files", 540_000)
	s.Observe("files", 90_000)
	g.Expect(s.Expected("files")).To(BeNumerically(">", 500_000))
	g.Expect(s.Expected("other")).To(BeZero())
	for range 500 {
		s.Observe("files", 1500)
	}
	g.Expect(s.Expected("files")).To(BeNumerically("~", 1500, 10))
	s.Observe("files", 8<<20)
	g.Expect(s.Expected("files")).To(BeEquivalentTo(1 << 20))
}
