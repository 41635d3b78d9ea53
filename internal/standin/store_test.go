package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/store"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand-in")
}

// manualClock is a clock that moves only when a test advances it.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

var _ = Describe("Store over its HTTP binding", func() {
	var (
		ctx     = context.Background()
		clock   *manualClock
		standin *Store
		client  store.Client
	)

	BeforeEach(func() {
		clock = &manualClock{now: time.Unix(1000, 0)}
		standin = NewStore(clock.Now)
		server := httptest.NewServer(standin)
		DeferCleanup(server.Close)
		client = store.NewHTTPClient(server.Listener.Addr().String(), "test", 10*time.Second)
	})

	set := func(key string, value string, expect uint64) (uint64, error) {
		return client.CompareAndSet(ctx, store.Write{Key: key, Value: []byte(value), Expect: expect})
	}

	It("writes only at the expected revision", func() {
		revision, err := set("a", "1", 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = set("a", "2", 0)
		Expect(err).To(Equal(&store.ConflictError{Key: "a", Expect: 0, Found: revision}))
		_, err = set("a", "2", revision)
		Expect(err).NotTo(HaveOccurred())
		entry, err := client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(entry.Value)).To(Equal("2"))
	})

	It("carries out a write whose reply is lost, and reports its outcome as unknown", func() {
		standin.SetFaults(StoreFaults{LoseReplyCount: 1})
		_, err := set("a", "1", 0)
		Expect(err).To(BeAssignableToTypeOf(&store.OutcomeUnknownError{}))
		entry, err := client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(entry.Value)).To(Equal("1"))
	})

	It("refuses every call while it is down, without effect", func() {
		standin.SetFaults(StoreFaults{Down: true})
		_, err := set("a", "1", 0)
		Expect(err).To(BeAssignableToTypeOf(&store.UnavailableError{}))
		standin.SetFaults(StoreFaults{})
		_, err = client.Get(ctx, "a")
		Expect(err).To(Equal(&store.NotFoundError{Key: "a"}))
	})

	DescribeTable("distinguishes a refused write from one that may still be carried out",
		func(status int, expected error) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
			}))
			DeferCleanup(server.Close)
			client = store.NewHTTPClient(server.Listener.Addr().String(), "test", 10*time.Second)
			_, err := set("a", "1", 0)
			Expect(err).To(BeAssignableToTypeOf(expected))
		},
		Entry("refused as too large", 413, &store.UnavailableError{}),
		Entry("service unavailable", 503, &store.UnavailableError{}),
		Entry("internal error", 500, &store.OutcomeUnknownError{}),
		Entry("gateway timeout", 504, &store.OutcomeUnknownError{}),
	)

	It("removes the keys of a lease that is not renewed in time", func() {
		lease, err := client.Grant(ctx, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.CompareAndSet(ctx, store.Write{Key: "a", Value: []byte("1"), Lease: lease})
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(9 * time.Second)
		Expect(client.Renew(ctx, lease)).To(Succeed())
		clock.Advance(9 * time.Second)
		_, err = client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Second)
		_, err = client.Get(ctx, "a")
		Expect(err).To(Equal(&store.NotFoundError{Key: "a"}))
		Expect(client.Renew(ctx, lease)).To(Equal(&store.LeaseLapsedError{Lease: lease}))
	})

	It("answers a watch at a higher revision and counts it as one call", func() {
		revision, err := set("a", "1", 0)
		Expect(err).NotTo(HaveOccurred())
		woken := make(chan store.Entry, 1)
		go func() {
			entry, err := client.Watch(ctx, "a", revision, time.Minute)
			if err == nil {
				woken <- entry
			}
		}()
		Eventually(standin.Calls, "10s").Should(HaveKeyWithValue("test watch", 1))
		_, err = set("a", "2", revision)
		Expect(err).NotTo(HaveOccurred())
		var entry store.Entry
		Eventually(woken, "10s").Should(Receive(&entry))
		Expect(string(entry.Value)).To(Equal("2"))
		Expect(standin.Calls()).To(HaveKeyWithValue("test watch", 1))
	})

	It("ends a watch without a change", func() {
		_, err := client.Watch(ctx, "a", 0, time.Millisecond)
		Expect(err).To(BeAssignableToTypeOf(&store.NotChangedError{}))
	})
})
