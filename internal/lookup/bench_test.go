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

// The size of two years.
const (
	benchBlocks = 610_000
	benchZones  = 150
	benchNodes  = 2_300
)

// fullCore returns a core that holds the whole table, and the blocks by zone.
func fullCore(tb testing.TB, blocks int) (*Core, [][]netip.Prefix) {
	tb.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	seen := make(map[netip.Prefix]bool, blocks)
	zones := make([][]netip.Prefix, benchZones)
	for len(seen) < blocks {
		value := random.Uint32()
		address := netip.AddrFrom4([4]byte{byte(value >> 24), byte(value >> 16), byte(value >> 8), byte(value)})
		prefix := netip.PrefixFrom(address, 12+random.IntN(13)).Masked()
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		zone := len(seen) % benchZones
		zones[zone] = append(zones[zone], prefix)
	}
	core := NewCore("zone-0")
	catalogue := Catalogue{Revision: 1, Services: []string{"files"}, Regions: make(map[string]string)}
	for zone := range zones {
		catalogue.Regions[zoneName(zone)] = fmt.Sprintf("region-%d", zone%48)
	}
	core.ReceiveCatalogue(catalogue)
	for zone, prefixes := range zones {
		receive(tb, core, 1, zone, prefixes)
	}
	state := State{Revision: 1, Self: member("entry-0", "zone-0", instancelist.Live)}
	for node := range benchNodes {
		state.Members = append(state.Members, member(fmt.Sprintf("entry-%d", node), zoneName(node%benchZones), instancelist.Live))
	}
	core.ReceiveState(time.Unix(1, 0), "l", state)
	return core, zones
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func receive(tb testing.TB, core *Core, revision uint64, zone int, prefixes []netip.Prefix) {
	tb.Helper()
	var content []byte
	for _, prefix := range prefixes {
		content = configuration.AppendBlock(content, prefix)
	}
	blocks := ZoneBlocks{Revision: revision, Zone: zoneName(zone), Digest: configuration.Digest(content), Content: content}
	if err := core.ReceiveBlocks(blocks); err != nil {
		tb.Fatal(err)
	}
}

func clients(n int) []netip.Addr {
	random := rand.New(rand.NewPCG(2, 2))
	found := make([]netip.Addr, n)
	for i := range found {
		value := random.Uint32()
		found[i] = netip.AddrFrom4([4]byte{byte(value >> 24), byte(value >> 16), byte(value >> 8), byte(value)})
	}
	return found
}

// BenchmarkLookupZone is one look-up in the prefix table.
func BenchmarkLookupZone(b *testing.B) {
	core, _ := fullCore(b, benchBlocks)
	table := core.Table()
	addresses := clients(1 << 16)
	for i := 0; b.Loop(); i++ {
		table.ZoneOf(addresses[i%len(addresses)])
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}

// BenchmarkLookupEntries is one look-up with the entries of its answer.
func BenchmarkLookupEntries(b *testing.B) {
	core, _ := fullCore(b, benchBlocks)
	table := core.Table()
	addresses := clients(1 << 16)
	for i := 0; b.Loop(); i++ {
		table.Entries(addresses[i%len(addresses)], uint64(i))
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}

// BenchmarkLookupDuringChange is one look-up on one core while another
// goroutine applies changes of one block without a pause.
func BenchmarkLookupDuringChange(b *testing.B) {
	core, zones := fullCore(b, benchBlocks)
	table := core.Table()
	addresses := clients(1 << 16)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for revision := uint64(2); ; revision++ {
			select {
			case <-stop:
				return
			default:
				changeOne(b, core, zones, revision)
			}
		}
	}()
	for i := 0; b.Loop(); i++ {
		table.ZoneOf(addresses[i%len(addresses)])
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
	close(stop)
	<-ended
}

// changeOne moves a zone's last block to another length.
func changeOne(tb testing.TB, core *Core, zones [][]netip.Prefix, revision uint64) {
	prefixes := zones[revision%benchZones]
	last := len(prefixes) - 1
	bits := 25 + int(revision)%6
	prefixes[last] = netip.PrefixFrom(prefixes[last].Addr(), bits).Masked()
	receive(tb, core, revision, int(revision%benchZones), prefixes)
}

// BenchmarkLookupChangeOneBlock takes a change of one block from its message
// to a published table.
func BenchmarkLookupChangeOneBlock(b *testing.B) {
	for _, blocks := range []int{61_000, 305_000, benchBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			core, zones := fullCore(b, blocks)
			revision := uint64(1)
			for b.Loop() {
				revision++
				changeOne(b, core, zones, revision)
				core.Table()
			}
		})
	}
}

// BenchmarkLookupMemory reports the heap that the control state holds.
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

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// benchServer makes the test binary serve the full table instead of testing.
const benchServer = "LOVAGE_BENCH_LOOKUP_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(benchServer) == "" {
		os.Exit(m.Run())
	}
	if err := serveFullTable(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveFullTable prints its address and serves until its input ends.
func serveFullTable() error {
	server := NewServer(Settings{Zone: "zone-0"}, zerolog.Nop())
	core, _ := fullCore(&testing.B{}, benchBlocks)
	server.core = core
	server.publish()
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

// BenchmarkLookupHTTP sends look-ups over loopback on kept connections to a
// process that runs on one core.
func BenchmarkLookupHTTP(b *testing.B) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), benchServer+"=1", "GOMAXPROCS=1")
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

// benchCallers is the number of callers that send at once.
const benchCallers = 32

func sendLookups(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	addresses := clients(1 << 10)
	var callers sync.WaitGroup
	for caller := range benchCallers {
		callers.Go(func() {
			for i := caller; i < b.N; i += benchCallers {
				query := "/v1/entries?service=files&client=" + addresses[i%len(addresses)].String()
				answer, err := client.Get(url + query)
				if err != nil || answer.StatusCode != http.StatusOK {
					b.Errorf("look-up failed: %v", err)
					return
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
		})
	}
	callers.Wait()
}

// BenchmarkLookupState encodes what an entry says of the planned fleet: all
// members, as in the first state of a stream, and none changed, as each second
// after it.
func BenchmarkLookupState(b *testing.B) {
	whole := State{Revision: 1, Whole: true, Self: member("entry-0", "zone-0", instancelist.Live)}
	for node := range benchNodes {
		whole.Members = append(whole.Members, member(fmt.Sprintf("entry-%d", node), zoneName(node%benchZones), instancelist.Live))
	}
	for name, state := range map[string]State{"whole": whole, "unchanged": {Revision: 1, Self: whole.Self}} {
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
