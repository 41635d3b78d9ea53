package entry

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/standin"
	"lovagescale/internal/store"
	"lovagescale/internal/unit"
	"lovagescale/internal/workspacekey"
)

// Addresses and configuration of the benchmark.
const (
	benchPlatform = "127.90.0.1:7100"
	benchControl  = "127.90.0.1:7101"
	benchUpstream = "127.90.1.10:8080"
	benchText     = `
[region.north]
link_bandwidth = "1Gbit/s"
shift_cap = "1000/s"
[zone.north-1]
region = "north"
client_blocks = ["10.1.0.0/16"]
[service.letters]
depends_on = []
slots = 64
connections = 200
timeout = "5s"
[service.letters.endpoints]
north-1 = ["127.90.1.10:8080"]
[service.letters.route.status]
path = "/status"
methods = ["GET"]
kind = "lookup"
open = true
[service.letters.route.send]
path = "/send"
methods = ["POST"]
kind = "action"
[workspace.azul]
rate = "1000000/s"
burst = 1000000
services = ["letters"]
isolation = "10m"
`
)

// startEntryPair runs the stand-in platform and two entries of one zone in this process.
// It returns the entries and a workspace key once the entries see each other and have
// the key's configuration.
func startEntryPair(b *testing.B) (entries [2]*Entry, key string) {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var instances []instancelist.Instance
	for i := range 2 {
		instances = append(instances, instancelist.Instance{ID: fmt.Sprintf("north-1-%d", i), Zone: "north-1",
			Address: fmt.Sprintf("127.90.1.%d:7001", i+1), Link: fmt.Sprintf("127.90.1.%d:7002", i+1), State: instancelist.Live})
	}
	platform := standin.NewServer(standin.Settings{Platform: benchPlatform, Control: benchControl, Instance: instances,
		Upstream: []standin.UpstreamSettings{{Service: "letters", Zone: "north-1", Addresses: []string{benchUpstream}, Slots: 64}}})
	go func() { _ = platform.Run(ctx) }()
	text, err := configuration.Parse("bench", []byte(benchText))
	if err != nil {
		b.Fatal(err)
	}
	publisher := &configuration.Publisher{Store: store.NewHTTPClient(benchPlatform, "bench", time.Second), ChangeID: "bench"}
	for _, err = publisher.Apply(ctx, configuration.PublishedManifest{}, text); err != nil; {
		time.Sleep(time.Millisecond)
		_, err = publisher.Apply(ctx, configuration.PublishedManifest{}, text)
	}
	key, record, err := workspacekey.Generate(rand.Reader, "azul")
	if err != nil {
		b.Fatal(err)
	}
	revision, err := publisher.GrantKey(ctx, record, []byte("token"))
	if err != nil {
		b.Fatal(err)
	}
	for i, instance := range instances {
		e, err := New(Settings{Instance: instance.ID, Zone: instance.Zone, Address: instance.Address, Link: instance.Link,
			Operator: fmt.Sprintf("127.90.1.%d:7003", i+1), Platform: benchPlatform,
			StoreTimeout: unit.Duration(time.Second), StopGrace: unit.Duration(time.Second),
			Action: ActionSettings{Capacity: 10_000_000, Retention: unit.Duration(time.Hour)}}, zerolog.Nop())
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = e.Run(ctx) }()
		entries[i] = e
	}
	for _, e := range entries {
		for e.configuration.Load() == nil || e.configuration.Load().Revision < revision || len(e.view.Load().Members) < 2 {
			time.Sleep(time.Millisecond)
		}
	}
	return entries, key
}

// BenchmarkActionLatency compares the latencies of a lookup, an action sent to its
// owner, an action that the other entry forwards to its owner, and a repeated action.
func BenchmarkActionLatency(b *testing.B) {
	entries, workspaceKey := startEntryPair(b)
	owner := entries[0].self.Incarnation
	keyCount := 0
	for _, kind := range []struct {
		name, method, path string
		entryIndex         int
		repeat             bool
	}{
		{"lookup", "GET", "/letters/status", 0, false},
		{"action", "POST", "/letters/send", 0, false},
		{"action-handed", "POST", "/letters/send", 1, false},
		{"action-repeated", "POST", "/letters/send", 0, true},
	} {
		b.Run(kind.name, func(b *testing.B) {
			histogram := hdrhistogram.New(1, int64(time.Minute), 3)
			for range b.N {
				if !kind.repeat {
					keyCount++
				}
				started := time.Now()
				sendRequest(b, kind.method, entries[kind.entryIndex].settings.Address+kind.path, workspaceKey, fmt.Sprintf("%s.%d", owner, keyCount))
				_ = histogram.RecordValue(int64(time.Since(started))) // always in range
			}
			b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e3, "p50-µs")
			b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-µs")
		})
	}
}

func sendRequest(b *testing.B, method, target, workspaceKey, key string) {
	r, err := http.NewRequest(method, "http://"+target, strings.NewReader(""))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("Authorization", "Bearer "+workspaceKey)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body) // read completely so that the connection is reused
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		b.Fatalf("%s %s: status %d", method, target, answer.StatusCode)
	}
}
