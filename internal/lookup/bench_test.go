package lookup

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/wire"
)

// Sizes of the fleet that are planned for in two years.
const (
	benchBlocks    = 610_000
	benchZones     = 150
	benchInstances = 2_300
)

// fullCore returns a core with the planned zones and entry instances and the given number of
// random client blocks. It also returns the blocks of each zone.
func fullCore(tb testing.TB, blocks int) (*Core, [][]netip.Prefix) {
	tb.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	seen := make(map[netip.Prefix]bool, blocks)
	blocksByZone := make([][]netip.Prefix, benchZones)
	for len(seen) < blocks {
		value := random.Uint32()
		address := netip.AddrFrom4([4]byte{byte(value >> 24), byte(value >> 16), byte(value >> 8), byte(value)})
		prefix := netip.PrefixFrom(address, 12+random.IntN(13)).Masked()
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		zone := len(seen) % benchZones
		blocksByZone[zone] = append(blocksByZone[zone], prefix)
	}
	core := NewCore("zone-0")
	catalogue := Catalogue{Revision: 1, Services: []string{"files"}, Regions: make(map[string]string)}
	for zone := range blocksByZone {
		catalogue.Regions[zoneName(zone)] = fmt.Sprintf("region-%d", zone%48)
	}
	core.HandleCatalogue(catalogue)
	for zone, prefixes := range blocksByZone {
		setZoneBlocks(tb, core, 1, zone, prefixes)
	}
	state := State{Revision: 1, Self: member("entry-0", "zone-0", instancelist.Live)}
	for instance := range benchInstances {
		state.Members = append(state.Members, member(fmt.Sprintf("entry-%d", instance), zoneName(instance%benchZones), instancelist.Live))
	}
	core.HandleState(time.Unix(1, 0), "l", state)
	return core, blocksByZone
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// setZoneBlocks replaces the client blocks of a zone in the core.
func setZoneBlocks(tb testing.TB, core *Core, revision uint64, zone int, prefixes []netip.Prefix) {
	tb.Helper()
	var content []byte
	for _, prefix := range prefixes {
		content = configuration.AppendBlock(content, prefix)
	}
	blocks := ZoneBlocks{Revision: revision, Zone: zoneName(zone), Digest: configuration.Digest(content), Content: content}
	if err := core.HandleBlocks(blocks); err != nil {
		tb.Fatal(err)
	}
}

// randomClients returns random client addresses.
func randomClients(count int) []netip.Addr {
	random := rand.New(rand.NewPCG(2, 2))
	clients := make([]netip.Addr, count)
	for i := range clients {
		value := random.Uint32()
		clients[i] = netip.AddrFrom4([4]byte{byte(value >> 24), byte(value >> 16), byte(value >> 8), byte(value)})
	}
	return clients
}

// BenchmarkLookupZone measures finding the zone of one client in the prefix table.
func BenchmarkLookupZone(b *testing.B) {
	core, _ := fullCore(b, benchBlocks)
	table := core.Table()
	addresses := randomClients(1 << 16)
	for i := 0; b.Loop(); i++ {
		table.ZoneOf(addresses[i%len(addresses)])
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}

// BenchmarkLookupEntries measures finding the entry instances for one client.
func BenchmarkLookupEntries(b *testing.B) {
	core, _ := fullCore(b, benchBlocks)
	table := core.Table()
	addresses := randomClients(1 << 16)
	for i := 0; b.Loop(); i++ {
		table.Entries(addresses[i%len(addresses)], uint64(i))
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}

// BenchmarkLookupDuringChange measures finding the zone of one client while another goroutine
// continuously changes one block after another.
func BenchmarkLookupDuringChange(b *testing.B) {
	core, blocksByZone := fullCore(b, benchBlocks)
	table := core.Table()
	addresses := randomClients(1 << 16)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for revision := uint64(2); ; revision++ {
			select {
			case <-stop:
				return
			default:
				changeOneBlock(b, core, blocksByZone, revision)
			}
		}
	}()
	for i := 0; b.Loop(); i++ {
		table.ZoneOf(addresses[i%len(addresses)])
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
	close(stop)
	<-done
}

// changeOneBlock replaces the last block of a zone by one of another prefix length.
func changeOneBlock(tb testing.TB, core *Core, blocksByZone [][]netip.Prefix, revision uint64) {
	prefixes := blocksByZone[revision%benchZones]
	last := len(prefixes) - 1
	bits := 25 + int(revision)%6
	prefixes[last] = netip.PrefixFrom(prefixes[last].Addr(), bits).Masked()
	setZoneBlocks(tb, core, revision, int(revision%benchZones), prefixes)
}

// BenchmarkLookupChangeOneBlock measures the change of one block, from the message to the new
// table.
func BenchmarkLookupChangeOneBlock(b *testing.B) {
	for _, blocks := range []int{61_000, 305_000, benchBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			core, blocksByZone := fullCore(b, blocks)
			revision := uint64(1)
			for b.Loop() {
				revision++
				changeOneBlock(b, core, blocksByZone, revision)
				core.Table()
			}
		})
	}
}

// BenchmarkLookupMemory reports the heap that the control state uses.
func BenchmarkLookupMemory(b *testing.B) {
	for _, blocks := range []int{61_000, 305_000, benchBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				core, _ := fullCore(b, blocks)
				after := heapBytes()
				b.ReportMetric(float64(after-before)/float64(1<<20), "MiB")
				b.ReportMetric(float64(after-before)/float64(blocks), "B/block")
				runtime.KeepAlive(core)
			}
		})
	}
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// benchServerVariable is the environment variable that makes the test binary serve the full
// table instead of running the tests.
const benchServerVariable = "LOVAGE_BENCH_LOOKUP_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(benchServerVariable) == "" {
		os.Exit(m.Run())
	}
	if err := serveFullTable(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveFullTable serves the full table on a free port, prints its URL and runs until standard
// input ends.
func serveFullTable() error {
	server := NewServer(Settings{Zone: "zone-0"}, zerolog.Nop())
	core, _ := fullCore(&testing.B{}, benchBlocks)
	server.core = core
	server.publishTable()
	handler, err := server.Handler()
	if err != nil {
		return err
	}
	listener := httptest.NewServer(handler)
	defer listener.Close()
	fmt.Println(listener.URL)
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// BenchmarkLookupHTTP measures lookups over keep-alive connections on the loopback interface to
// a process with GOMAXPROCS=1.
func BenchmarkLookupHTTP(b *testing.B) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), benchServerVariable+"=1", "GOMAXPROCS=1")
	input, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() {
		_ = input.Close()
		_ = command.Wait()
	}()
	url, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	sendLookups(b, strings.TrimSpace(url))
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}

// benchCallers is the number of callers that send lookups concurrently.
const benchCallers = 32

// sendLookups sends b.N lookups to the server at the URL.
func sendLookups(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	addresses := randomClients(1 << 10)
	var callers sync.WaitGroup
	for caller := range benchCallers {
		callers.Go(func() {
			for i := caller; i < b.N; i += benchCallers {
				query := "/v1/entries?service=files&client=" + addresses[i%len(addresses)].String()
				answer, err := client.Get(url + query)
				if err != nil || answer.StatusCode != http.StatusOK {
					b.Errorf("lookup failed: %v", err)
					return
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
		})
	}
	callers.Wait()
}

// BenchmarkLookupState measures the encoding of the states that an entry instance of the planned
// fleet sends: the first state of a stream with all members, and a state without changes, which
// is sent each second after it.
func BenchmarkLookupState(b *testing.B) {
	full := State{Revision: 1, Full: true, Self: member("entry-0", "zone-0", instancelist.Live)}
	for instance := range benchInstances {
		full.Members = append(full.Members, member(fmt.Sprintf("entry-%d", instance), zoneName(instance%benchZones), instancelist.Live))
	}
	for name, state := range map[string]State{"whole": full, "unchanged": {Revision: 1, Self: full.Self}} {
		b.Run(name, func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				envelope, err := wire.Encode(TypeState, 1, state)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(envelope.Body)
			}
			b.ReportMetric(float64(bytes), "B")
		})
	}
}
