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

// Shape of the benchmark's fleet.
const (
	fleetZones   = 6
	fleetRegions = 3
	// countWindow is the time for which store calls are counted.
	countWindow = 20 * time.Second
)

// fleetText is a text with the zones that n instances stand in.
func fleetText(b *testing.B, n, burst int) *configuration.Text {
	var t strings.Builder
	for i := range min(n, fleetRegions) {
		fmt.Fprintf(&t, "[region.r%d]\n", i)
	}
	for i := range min(n, fleetZones) {
		fmt.Fprintf(&t, "[zone.z%d]\nregion = \"r%d\"\n", i, i%fleetRegions)
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

// fleetOf runs the stand-in and n entries in this process.
func fleetOf(b *testing.B, net, n int) ([]*Entry, *standin.Server, string) {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	address := func(i, port int) string { return fmt.Sprintf("127.%d.1.%d:%d", net, i+1, port) }
	var instances []instancelist.Instance
	for i := range n {
		instances = append(instances, instancelist.Instance{ID: fmt.Sprint("i", i), Zone: fmt.Sprint("z", i%fleetZones),
			Address: address(i, 7001), Link: address(i, 7002), State: instancelist.Live})
	}
	platformAddress := fmt.Sprintf("127.%d.0.1:7100", net)
	surroundings := standin.NewServer(standin.Settings{Platform: platformAddress,
		Control: fmt.Sprintf("127.%d.0.1:7101", net), Instance: instances})
	go func() { _ = surroundings.Run(ctx) }()
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
	return entries, surroundings, platformAddress
}

// stamped notes when the store has accepted a manifest.
type stamped struct {
	store.Client
	accepted time.Time
}

// CompareAndSet implements store.Client.
func (s *stamped) CompareAndSet(ctx context.Context, write store.Write) (uint64, error) {
	revision, err := s.Client.CompareAndSet(ctx, write)
	if write.Key == configuration.ManifestKey {
		s.accepted = time.Now()
	}
	return revision, err
}

// apply publishes a text and returns the time from the store's reply until all
// entries have it.
func apply(b *testing.B, entries []*Entry, address string, text *configuration.Text) time.Duration {
	client := &stamped{Client: store.NewHTTPClient(address, "ctl", 5*time.Second)}
	p := &configuration.Publisher{Store: client, ChangeID: fmt.Sprint(time.Now().UnixNano())}
	base, err := p.Current(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	inForce := make(chan time.Time, 1)
	next := base.Manifest.Revision + 1
	go func() {
		awaitRevision(entries, next)
		inForce <- time.Now()
	}()
	if _, err := p.Apply(context.Background(), base, text); err != nil {
		b.Fatal(err)
	}
	return (<-inForce).Sub(client.accepted)
}

func awaitRevision(entries []*Entry, revision uint64) {
	for _, e := range entries {
		for e.current.Load() == nil || e.current.Load().Revision < revision {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkStoreCalls counts the store's calls by role for growing fleets and
// measures the time from the store's reply to the force on all instances,
// with the store answering at once and after 250 ms.
func BenchmarkStoreCalls(b *testing.B) {
	for i, n := range []int{2, 6, 12, 24, 48} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			if b.N > 1 {
				b.Skip("one round is the measurement; use -benchtime 1x")
			}
			entries, surroundings, address := fleetOf(b, 91+i, n)
			time.Sleep(time.Second) // the stand-in listens and members see each other
			apply(b, entries, address, fleetText(b, n, 1))
			for _, e := range entries {
				for len(e.view.Load().Members) < n {
					time.Sleep(time.Millisecond)
				}
			}
			time.Sleep(defaultWatchWait.Std()) // watches of the start end
			before := surroundings.Store.Calls()
			time.Sleep(countWindow)
			after := surroundings.Store.Calls()
			roles := make(map[string]float64)
			for call, count := range after {
				role, _, _ := strings.Cut(call, " ")
				roles[role] += float64(count-before[call]) / countWindow.Seconds()
			}
			for role, rate := range roles {
				b.ReportMetric(rate, role+"-calls/s")
			}
			reportForce(b, "at-once", entries, address, n)
			surroundings.Store.SetFaults(standin.StoreFaults{SlowMillis: 250})
			reportForce(b, "slow", entries, address, n)
		})
	}
}

// reportForce reports the longest of some times from apply to force.
func reportForce(b *testing.B, name string, entries []*Entry, address string, n int) {
	const changes = 5
	var longest time.Duration
	for i := range changes {
		longest = max(longest, apply(b, entries, address, fleetText(b, n, 100+i+len(name))))
	}
	b.ReportMetric(float64(longest.Milliseconds()), name+"-ms")
}
