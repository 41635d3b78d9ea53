package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/standin"
	"lovagescale/internal/store"
	"lovagescale/internal/unit"
)

// Size of the benchmark's fleet and duration of its measurement.
const (
	zoneCount   = 6
	regionCount = 3
	// storeCallWindow is the time during which store calls are counted.
	storeCallWindow = 20 * time.Second
)

// benchmarkText returns a configuration text with the zones of n instances. Different
// bursts make different revisions.
func benchmarkText(b *testing.B, n, burst int) *configuration.Text {
	var t strings.Builder
	for i := range min(n, regionCount) {
		fmt.Fprintf(&t, "[region.r%d]\n", i)
	}
	for i := range min(n, zoneCount) {
		fmt.Fprintf(&t, "[zone.z%d]\nregion = \"r%d\"\n", i, i%regionCount)
	}
	fmt.Fprintf(&t, "[service.s]\nslots = 1\nconnections = 1\ntimeout = \"1s\"\n")
	fmt.Fprintf(&t, "route.read = {path = \"/\", methods = [\"GET\"], kind = \"lookup\"}\n")
	fmt.Fprintf(&t, "[workspace.azul]\nrate = \"1/s\"\nburst = %d\nservices = [\"s\"]\n", burst)
	text, err := configuration.Parse("bench", []byte(t.String()))
	if err != nil {
		b.Fatal(err)
	}
	return text
}

// startFleet runs the stand-in platform and n entries in this process. It returns the
// entries, the platform and the platform's address.
func startFleet(b *testing.B, network, n int) ([]*Entry, *standin.Server, string) {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	address := func(i, port int) string { return fmt.Sprintf("127.%d.1.%d:%d", network, i+1, port) }
	var instances []instancelist.Instance
	for i := range n {
		instances = append(instances, instancelist.Instance{ID: fmt.Sprint("i", i), Zone: fmt.Sprint("z", i%zoneCount),
			Address: address(i, 7001), Link: address(i, 7002), State: instancelist.Live})
	}
	platformAddress := fmt.Sprintf("127.%d.0.1:7100", network)
	platform := standin.NewServer(standin.Settings{Platform: platformAddress,
		Control: fmt.Sprintf("127.%d.0.1:7101", network), Instance: instances})
	go func() { _ = platform.Run(ctx) }()
	var entries []*Entry
	for i, instance := range instances {
		e, err := New(Settings{Instance: instance.ID, Zone: instance.Zone, Address: instance.Address, Link: instance.Link,
			Operator: address(i, 7003), Platform: platformAddress,
			StoreTimeout: unit.Duration(2 * time.Second), StopGrace: unit.Duration(time.Second)}, zerolog.Nop())
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = e.Run(ctx) }()
		entries = append(entries, e)
	}
	return entries, platform, platformAddress
}

// timingClient records when the store has accepted a manifest.
type timingClient struct {
	store.Client
	acceptedAt time.Time
}

// CompareAndSet implements store.Client.
func (c *timingClient) CompareAndSet(ctx context.Context, write store.Write) (uint64, error) {
	revision, err := c.Client.CompareAndSet(ctx, write)
	if write.Key == configuration.ManifestKey {
		c.acceptedAt = time.Now()
	}
	return revision, err
}

// applyAndAwait publishes a configuration text and returns the time from the store's
// reply until all entries have activated it.
func applyAndAwait(b *testing.B, entries []*Entry, address string, text *configuration.Text) time.Duration {
	client := &timingClient{Client: store.NewHTTPClient(address, "ctl", 5*time.Second)}
	p := &configuration.Publisher{Store: client, ChangeID: fmt.Sprint(time.Now().UnixNano())}
	base, err := p.Current(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	activatedAt := make(chan time.Time, 1)
	next := base.Manifest.Revision + 1
	go func() {
		awaitRevision(entries, next)
		activatedAt <- time.Now()
	}()
	if _, err := p.Apply(context.Background(), base, text); err != nil {
		b.Fatal(err)
	}
	return (<-activatedAt).Sub(client.acceptedAt)
}

func awaitRevision(entries []*Entry, revision uint64) {
	for _, e := range entries {
		for e.configuration.Load() == nil || e.configuration.Load().Revision < revision {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkStoreCalls counts the store calls by the role of the caller for fleets of
// growing size. It also measures the time from the store's reply until a configuration
// is active on all instances, with a store that answers at once or after 250 ms.
func BenchmarkStoreCalls(b *testing.B) {
	for i, n := range []int{2, 6, 12, 24, 48} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			if b.N > 1 {
				b.Skip("one round is the measurement; use -benchtime 1x")
			}
			entries, platform, address := startFleet(b, 91+i, n)
			time.Sleep(time.Second) // until the platform listens and the members see each other
			applyAndAwait(b, entries, address, benchmarkText(b, n, 1))
			for _, e := range entries {
				for len(e.view.Load().Members) < n {
					time.Sleep(time.Millisecond)
				}
			}
			time.Sleep(defaultWatchWait.Std()) // until the watches of the start have ended
			before := platform.Store.Calls()
			time.Sleep(storeCallWindow)
			after := platform.Store.Calls()
			roles := make(map[string]float64)
			for call, count := range after {
				role, _, _ := strings.Cut(call, " ")
				roles[role] += float64(count-before[call]) / storeCallWindow.Seconds()
			}
			for role, rate := range roles {
				b.ReportMetric(rate, role+"-calls/s")
			}
			reportActivation(b, "at-once", entries, address, n)
			platform.Store.SetFaults(standin.StoreFaults{SlowMillis: 250})
			reportActivation(b, "slow", entries, address, n)
		})
	}
}

// reportActivation reports the longest of several activation times.
func reportActivation(b *testing.B, name string, entries []*Entry, address string, n int) {
	const rounds = 5
	var longest time.Duration
	for i := range rounds {
		longest = max(longest, applyAndAwait(b, entries, address, benchmarkText(b, n, 100+i+len(name))))
	}
	b.ReportMetric(float64(longest.Milliseconds()), name+"-ms")
}
