package action

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/call"
	"lovagescale/internal/refusal"
	"lovagescale/internal/store"
	"lovagescale/internal/store/storetest"
	"lovagescale/internal/upstream"
)

func TestAction(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "action")
}

const selfIncarnation = "north-1-a-0123456789ab"

// fixture is a stage with a manual clock, a scripted upstream and an in-memory
// store.
type fixture struct {
	now   time.Time
	runs  int
	serve func() (*call.Result, error)
	log   bytes.Buffer
	store *leasingStore
	stage *Stage
}

func newFixture(options Options) *fixture {
	f := &fixture{now: time.Unix(1_700_000_000, 0), store: &leasingStore{Store: storetest.New()}}
	f.serve = func() (*call.Result, error) { return resultWithBody("first"), nil }
	f.stage = NewStage(Environment{
		Incarnation: selfIncarnation,
		Now:         func() time.Time { return f.now },
		Next: call.StageFunc(func(context.Context, *call.Call) (*call.Result, error) {
			f.runs++
			return f.serve()
		}),
		Locate:   func(string) (string, bool) { return "", false },
		Members:  func() int { return 11 },
		Store:    f.store,
		Log:      zerolog.New(&f.log),
		Registry: metrics.NewRegistry(),
	}, options)
	return f
}

func resultWithBody(body string) *call.Result {
	return &call.Result{Answer: &upstream.Answer{Status: 201, Header: http.Header{}, Body: []byte(body)}, Endpoint: "10.0.0.1:80"}
}

func (f *fixture) send(workspace, key, body string) (*call.Result, *refusal.Refusal) {
	result, err := f.stage.Serve(context.Background(), &call.Call{
		ID: "request-1", Workspace: workspace, IdempotencyKey: key, Deadline: time.Now().Add(time.Minute),
		Request: upstream.Request{Method: "POST", Target: "/send", Body: []byte(body)},
	})
	if err != nil {
		return nil, err.(*refusal.Refusal)
	}
	return result, nil
}

// leasingStore is an in-memory store that grants leases and counts calls.
type leasingStore struct {
	*storetest.Store
	writes, bytes, calls, reads int
}

func (s *leasingStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	s.calls++
	return "lease", nil
}

func (s *leasingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	s.reads++
	return s.Store.Get(ctx, key)
}

func (s *leasingStore) Renew(context.Context, store.LeaseID) error {
	s.calls++
	return nil
}

func (s *leasingStore) CompareAndSet(ctx context.Context, write store.Write) (uint64, error) {
	s.calls++
	s.writes++
	s.bytes += len(write.Value)
	return s.Store.CompareAndSet(ctx, write)
}

var _ = Describe("Stage", func() {
	const key = selfIncarnation + ".1"
	var f *fixture
	BeforeEach(func() { f = newFixture(Options{Capacity: 2, AnswerBytes: 1000}) })

	It("answers a retry with the first answer and runs the action once", func() {
		f.send("azul", key, "letter")
		result, refused := f.send("azul", key, "letter")
		Expect(refused).To(BeNil())
		Expect(result.Replayed).To(BeTrue())
		Expect(string(result.Answer.Body)).To(Equal("first"))
		Expect(f.runs).To(Equal(1))
	})
	It("treats the same key in two workspaces as two actions", func() {
		f.send("azul", key, "letter")
		result, _ := f.send("verde", key, "letter")
		Expect(result.Replayed).To(BeFalse())
		Expect(f.runs).To(Equal(2))
	})
	It("reports ran with the first status when the answer is too large to keep", func() {
		f.serve = func() (*call.Result, error) { return resultWithBody(strings.Repeat("x", 2000)), nil }
		f.send("azul", key, "letter")
		_, refused := f.send("azul", key, "letter")
		Expect(refused.Kind).To(Equal(refusal.ActionAnswerNotKept))
		Expect(refused.Outcome).To(Equal(refusal.Ran))
		Expect(refused.Status).To(Equal(201))
	})
	It("refuses a key whose retention has ended as unknown instead of running it again", func() {
		old := OwnerToken(selfIncarnation, f.now) + "."
		f.send("azul", old+"1", "letter")
		f.send("azul", old+"2", "letter")
		_, refused := f.send("azul", old+"3", "letter")
		Expect(refused.Kind).To(Equal(refusal.ActionTableFull))
		Expect(refused.Outcome).To(Equal(refusal.NotRun))
		f.now = f.now.Add(2 * time.Hour)
		_, refused = f.send("azul", OwnerToken(selfIncarnation, f.now)+".4", "letter")
		Expect(refused).To(BeNil())
		_, refused = f.send("azul", old+"1", "letter")
		Expect(refused.Kind).To(Equal(refusal.IdempotencyKeyExpired))
		Expect(refused.Outcome).To(Equal(refusal.Unknown))
		Expect(f.runs).To(Equal(3))
	})
	It("never evicts a key without a stamp", func() {
		f.send("azul", key, "letter")
		f.send("azul", selfIncarnation+".2", "letter")
		f.now = f.now.Add(100 * time.Hour)
		_, refused := f.send("azul", selfIncarnation+".3", "letter")
		Expect(refused.Kind).To(Equal(refusal.ActionTableFull))
	})
	It("writes an audit log line without the key or the body", func() {
		f.send("azul", key, "secret letter")
		line := f.log.String()
		for _, part := range []string{`"request_id":"request-1"`, `"workspace":"azul"`, `"outcome":"ran"`,
			`"endpoint":"10.0.0.1:80"`, `"owner":"` + selfIncarnation, `"key_digest":"` + DigestOf("azul", key).String()} {
			Expect(line).To(ContainSubstring(part))
		}
		Expect(line).NotTo(ContainSubstring("secret"))
		Expect(line).NotTo(ContainSubstring(key + `"`))
	})
	It("does not start an action whose caller has disconnected", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := f.stage.Serve(ctx, &call.Call{Workspace: "azul", IdempotencyKey: key, Deadline: time.Now().Add(time.Minute)})
		Expect(err.(*refusal.Refusal).Outcome).To(Equal(refusal.NotRun))
		Expect(f.runs).To(BeZero())
	})

	DescribeTable("outcome of a run and of its retry", func(result *call.Result, err error, first, second refusal.Outcome, runs int) {
		f.serve = func() (*call.Result, error) { return result, err }
		_, refused := f.send("azul", key, "letter")
		Expect(refused.Outcome).To(Equal(first))
		_, refused = f.send("azul", key, "letter")
		Expect(refused.Outcome).To(Equal(second))
		Expect(f.runs).To(Equal(runs))
	},
		Entry("upstream states that it did no work",
			&call.Result{Answer: &upstream.Answer{Status: 503, Header: http.Header{upstream.HeaderOutcome: {upstream.OutcomeNotRun}}}},
			nil, refusal.NotRun, refusal.NotRun, 2),
		Entry("no connection", nil, refusal.New(503, refusal.UpstreamUnreachable, refusal.NotRun, ""), refusal.NotRun, refusal.NotRun, 2),
		Entry("lost answer", nil, refusal.New(502, refusal.UpstreamFailed, refusal.Unknown, ""), refusal.Unknown, refusal.Unknown, 1),
		Entry("error that is not a refusal", nil, context.Canceled, refusal.Unknown, refusal.Unknown, 1),
	)
	DescribeTable("refusal of a key", func(text string, kind refusal.Kind, outcome refusal.Outcome) {
		f.send("azul", key, "letter")
		_, refused := f.send("azul", text, "other letter")
		Expect(refused.Kind).To(Equal(kind))
		Expect(refused.Outcome).To(Equal(outcome))
		Expect(f.runs).To(Equal(1))
	},
		Entry("used with another body", key, refusal.IdempotencyKeyReused, refusal.Unknown),
		Entry("too long", strings.Repeat("k", MaxKeyBytes+1), refusal.IdempotencyKeyInvalid, refusal.NotRun),
		Entry("owner alone", selfIncarnation+".", refusal.IdempotencyKeyInvalid, refusal.NotRun),
		Entry("owner that cannot be reached", "north-1-b-00112233aabb.1", refusal.ActionOwnerUnreachable, refusal.Unknown),
	)
	DescribeTable("outcome of a request that is refused before the stage", func(workspace, text string, outcome refusal.Outcome) {
		f.send("azul", key, "letter")
		Expect(f.stage.RefusalOutcome(workspace, text)).To(Equal(outcome))
	},
		Entry("own key that ran", "azul", key, refusal.Unknown),
		Entry("own key that was not started", "azul", selfIncarnation+".2", refusal.NotRun),
		Entry("key of another owner", "azul", "north-1-b-00112233aabb.1", refusal.Unknown),
		Entry("key without an owner", "azul", "plain", refusal.Unknown),
	)
	DescribeTable("owner and stamp of a key", func(text, owner string, stamp Stamp) {
		Expect(ParseKey(text)).To(Equal(Key{Owner: owner, Stamp: stamp}))
	},
		Entry("with a stamp", selfIncarnation+"~gva51.1.2", selfIncarnation, Stamp(28333333)),
		Entry("without a stamp", selfIncarnation+".1", selfIncarnation, Stamp(0)),
		Entry("no owner in a UUID", "1b4e28ba-2fa1-11d2-883f-0016d3cca427", "", Stamp(0)),
		Entry("no owner in a word followed by a dot", "order.17", "", Stamp(0)),
	)
	It("claims a key without an owner once despite a lost reply", func() {
		f.store.LoseReplies = 1
		_, refused := f.send("azul", "plain", "letter")
		Expect(refused).To(BeNil())
		f.store.Unavailable = true
		result, _ := f.send("azul", "plain", "letter")
		Expect(result.Replayed).To(BeTrue())
		_, refused = f.send("azul", "plain 2", "letter")
		Expect(refused.Outcome).To(Equal(refusal.Unknown))
		Expect(f.runs).To(Equal(1))
	})
})

var _ = Describe("JournalWriter", func() {
	ctx := context.Background()
	read := func(f *fixture) *Journal {
		entry, err := f.store.Get(ctx, JournalKey(selfIncarnation))
		Expect(err).NotTo(HaveOccurred())
		journal, err := DecodeJournal(entry.Value)
		Expect(err).NotTo(HaveOccurred())
		return journal
	}

	It("writes outcomes in batches and writes again after a lost reply", func() {
		f := newFixture(Options{})
		writer := NewJournalWriter(f.stage, JournalOptions{})
		Expect(writer.flush(ctx)).To(BeTrue())
		Expect(f.store.writes).To(BeZero())
		f.send("azul", selfIncarnation+".1", "letter")
		f.send("azul", selfIncarnation+".2", "letter")
		f.store.LoseReplies = 1
		Expect(writer.flush(ctx)).To(BeTrue())
		Expect(f.store.writes).To(Equal(2))
		Expect(read(f).Entries).To(HaveLen(2))
	})
	It("lets another entry answer for an owner that is gone", func() {
		f := newFixture(Options{})
		f.send("azul", selfIncarnation+".1", "letter")
		f.stage.Seal()
		_, refused := f.send("azul", selfIncarnation+".2", "letter")
		Expect(refused.Kind).To(Equal(refusal.Stopping))
		Expect(NewJournalWriter(f.stage, JournalOptions{}).Close(ctx)).To(BeTrue())

		other := newFixture(Options{})
		other.store = f.store
		other.stage.journalReader.store = f.store
		other.stage.core.incarnation = "north-1-b-00112233aabb"
		result, _ := other.send("azul", selfIncarnation+".1", "letter")
		Expect(string(result.Answer.Body)).To(Equal("first"))
		_, refused = other.send("azul", selfIncarnation+".2", "letter")
		Expect(refused.Kind).To(Equal(refusal.ActionOwnerGone))
		Expect(refused.Outcome).To(Equal(refusal.NotRun))
		Expect(other.runs).To(BeZero())
	})
	It("limits the journal reads that retries cause", func() {
		f := newFixture(Options{})
		for i := range 1000 {
			f.send("azul", fmt.Sprintf("north-1-b-%012x.1", i), "letter")
			f.send("azul", "north-1-c-00112233aabb.1", "letter")
		}
		Expect(f.store.reads).To(BeNumerically("<=", journalReadsPerSecond*limiterBurstSeconds/11+1))
	})
	It("stays within its size limit and records that outcomes were evicted", func() {
		f := newFixture(Options{JournalBytes: 4000})
		for i := range 500 {
			f.send("azul", selfIncarnation+"."+strings.Repeat("k", i%100)+string(rune('a'+i/100)), "letter")
		}
		value, _, err := f.stage.Journal()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(value)).To(BeNumerically("<=", 4000+200))
		f.stage.Seal()
		Expect(NewJournalWriter(f.stage, JournalOptions{}).Close(ctx)).To(BeTrue())
		Expect(read(f).ProvesNotRun(0)).To(BeFalse())
	})
	DescribeTable("write delay", func(members, bytes int, want time.Duration) {
		options := JournalOptions{Interval: time.Second, FleetWritesPerSecond: 50, BytesPerSecond: 1000}
		Expect(options.writeDelay(members, bytes)).To(Equal(want))
	},
		Entry("small fleet", 11, 100, time.Second),
		Entry("large fleet", 2300, 100, 46*time.Second),
		Entry("large journal", 11, 4000, 4*time.Second),
	)
})
