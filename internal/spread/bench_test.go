package spread

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/membership"
	"lovagescale/internal/wire"
)

// frameOverhead is the length field and the version byte of a frame.
const frameOverhead = 5

// estate is the text of a configuration of some size.
type estate struct{ regions, zones, services, workspaces, blocks int }

func (e estate) text(changed string) *configuration.Text {
	var t strings.Builder
	for i := range e.regions {
		fmt.Fprintf(&t, "[region.r%d]\n", i)
	}
	for i := range e.zones {
		fmt.Fprintf(&t, "[zone.z%d]\nregion = \"r%d\"\nclient_blocks = [", i, i%e.regions)
		for j := range e.blocks / e.zones {
			n := i*(e.blocks/e.zones) + j
			fmt.Fprintf(&t, "\"%d.%d.%d.0/24\",", 1+n>>16, n>>8&255, n&255)
		}
		if i == 0 {
			t.WriteString(changed)
		}
		t.WriteString("]\n")
	}
	for i := range e.services {
		fmt.Fprintf(&t, "[service.s%d]\nslots = 1\nconnections = 1\ntimeout = \"1s\"\n", i)
		fmt.Fprintf(&t, "route.read = {path = \"/\", methods = [\"GET\"], kind = \"lookup\"}\n")
		fmt.Fprintf(&t, "endpoints = {z%d = [\"10.%d.%d.1:80\", \"10.%d.%d.2:80\"]}\n", i%e.zones, i>>8, i&255, i>>8, i&255)
	}
	for i := range e.workspaces {
		fmt.Fprintf(&t, "[workspace.w%d]\nrate = \"10/s\"\nburst = 10\nservices = [\"s0\"]\n", i)
	}
	text, err := configuration.Parse("bench", []byte(t.String()))
	if err != nil {
		panic(err)
	}
	return text
}

func (e estate) compile(revision uint64, changed string) (configuration.Manifest, configuration.Chunks) {
	names, chunks, err := e.text(changed).Compile()
	if err != nil {
		panic(err)
	}
	return configuration.Manifest{Revision: revision, ChangeID: fmt.Sprint("change ", revision), Chunks: names}, chunks
}

// fleet is a set of cores whose messages travel in rounds.
type fleet struct {
	cores  []*Core
	index  map[string]int
	now    time.Time
	next   []func()
	bytes  []int
	frames int
}

func newFleet(instances int, e estate) *fleet {
	f := &fleet{index: make(map[string]int), now: time.Unix(0, 0), bytes: make([]int, instances)}
	var members []membership.Member
	for i := range instances {
		member := membership.Member{Instance: fmt.Sprint("i", i), Zone: fmt.Sprint("z", i%e.zones), State: instancelist.Live}
		members = append(members, member)
		f.index[member.Instance] = i
	}
	manifest, chunks := e.compile(1, "")
	for i := range instances {
		core := New(members[i], rand.New(rand.NewPCG(1, uint64(i))), Options{})
		core.Members(members)
		if _, err := core.StoreRead(f.now, manifest, chunks); err != nil {
			panic(err)
		}
		f.cores = append(f.cores, core)
	}
	return f
}

func size(messageType string, body any) int {
	envelope, err := wire.Encode(messageType, 1, body)
	if err != nil {
		panic(err)
	}
	return len(envelope.Body) + len(messageType) + frameOverhead
}

// send counts a message at both ends and delivers it in the next round.
func (f *fleet) send(from, to int, messageType string, body any, deliver func()) {
	n := size(messageType, body)
	f.bytes[from] += n
	f.bytes[to] += n
	f.frames++
	f.next = append(f.next, deliver)
}

func (f *fleet) follow(i int, out Output) {
	for _, call := range out.Exchanges {
		j := f.index[call.Peer.Instance]
		f.send(i, j, TypeExchange, call.Summary, func() {
			reply, followed := f.cores[j].HandleExchange(f.now, call.Summary)
			f.send(j, i, "reply", reply, func() { f.follow(i, f.cores[i].ExchangeReplied(f.now, f.now, reply)) })
			f.follow(j, followed)
		})
	}
	for _, call := range out.Pulls {
		j := f.index[call.Peer.Instance]
		f.send(i, j, TypePull, call.Request, func() {
			reply := f.cores[j].HandlePull(f.now, call.Request)
			f.send(j, i, "reply", reply, func() {
				f.follow(i, f.cores[i].PullReplied(f.now, f.now, call.Peer.Instance, call.Request, reply))
			})
		})
	}
}

func (f *fleet) round() {
	messages := f.next
	f.next = nil
	for _, message := range messages {
		message()
	}
}

// spread lets the watchers take a revision and returns the rounds until all
// have it. A round is one message on the way.
func (f *fleet) spread(manifest configuration.Manifest, chunks configuration.Chunks) int {
	for i, core := range f.cores {
		if core.Watching() {
			out, err := core.StoreRead(f.now, manifest, chunks)
			if err != nil {
				panic(err)
			}
			f.follow(i, out)
		}
	}
	rounds := 0
	for ; !f.all(manifest.Revision); rounds++ {
		if len(f.next) == 0 {
			panic("messages ended before all had the revision")
		}
		f.round()
	}
	for len(f.next) > 0 {
		f.round()
	}
	return rounds
}

func (f *fleet) all(revision uint64) bool {
	for _, core := range f.cores {
		if core.Revision() != revision {
			return false
		}
	}
	return true
}

func (f *fleet) traffic() (mean, most float64) {
	for i, n := range f.bytes {
		mean += float64(n)
		most = max(most, float64(n))
		f.bytes[i] = 0
	}
	return mean / float64(len(f.bytes)), most
}

var benchSizes = []struct{ instances, zones, regions int }{
	{12, 6, 3}, {48, 12, 6}, {150, 30, 10}, {600, 60, 20}, {2300, 150, 48},
}

// BenchmarkSpreadChange measures one change of a client block through a whole
// fleet: bytes in and out of an instance, and rounds.
func BenchmarkSpreadChange(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d/zones=%d/regions=%d", s.instances, s.zones, s.regions), func(b *testing.B) {
			e := estate{regions: s.regions, zones: s.zones, services: 10, workspaces: 20, blocks: 500 * s.zones}
			f := newFleet(s.instances, e)
			watchers := 0
			for _, core := range f.cores {
				if core.Watching() {
					watchers++
				}
			}
			rounds, revision := 0, uint64(1)
			for b.Loop() {
				revision++
				manifest, chunks := e.compile(revision, fmt.Sprintf("\"200.%d.%d.0/24\"", revision>>8, revision&255))
				rounds += f.spread(manifest, chunks)
			}
			mean, most := f.traffic()
			n := float64(b.N)
			b.ReportMetric(mean/n, "B/node/change")
			b.ReportMetric(most/n, "B/busiest/change")
			b.ReportMetric(float64(rounds)/n, "rounds")
			b.ReportMetric(float64(watchers), "watchers")
		})
	}
}

// BenchmarkSpreadIdle measures the periodic exchanges: one second of a fleet.
func BenchmarkSpreadIdle(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d", s.instances), func(b *testing.B) {
			f := newFleet(s.instances, estate{regions: s.regions, zones: s.zones, services: 1, workspaces: 1})
			for b.Loop() {
				for i, core := range f.cores {
					f.follow(i, core.Tick(f.now))
				}
				for len(f.next) > 0 {
					f.round()
				}
			}
			mean, _ := f.traffic()
			b.ReportMetric(mean/float64(b.N), "B/node/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(s.instances), "us/node/s")
		})
	}
}

// target is the estate of the size to design for.
var target = estate{regions: 48, zones: 150, services: 1500, workspaces: 1000, blocks: 610_000}

// BenchmarkTakeChange measures at the size to design for what one instance
// does for a change of one client block: time, and bytes of the difference.
func BenchmarkTakeChange(b *testing.B) {
	for _, blocks := range []int{61_000, 305_000, 610_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			e := target
			e.blocks = blocks
			f := newFleet(2, e)
			manifests := make([]configuration.Manifest, 2)
			parts := make([]configuration.Chunks, 2)
			for i := range manifests {
				manifests[i], parts[i] = e.compile(0, fmt.Sprintf("\"200.0.%d.0/24\"", i))
			}
			bytes, revision := 0, uint64(1)
			for b.Loop() {
				revision++
				manifest := manifests[revision%2]
				manifest.Revision = revision
				manifest.ChangeID = fmt.Sprint("change ", revision)
				b.StopTimer()
				if _, err := f.cores[0].StoreRead(f.now, manifest, parts[revision%2]); err != nil {
					b.Fatal(err)
				}
				request := PullRequest{Revision: f.cores[1].Revision(), ChangeID: f.cores[1].Manifest().ChangeID}
				reply := f.cores[0].HandlePull(f.now, request)
				bytes += size("reply", reply)
				f.cores[1].pulling = &pull{peer: f.cores[0].self, startAt: f.now, chunks: make(configuration.Chunks)}
				b.StartTimer()
				f.cores[1].PullReplied(f.now, f.now, f.cores[0].self.Instance, request, reply)
				if f.cores[1].Revision() != revision {
					b.Fatal("difference was not taken")
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/change")
			b.ReportMetric(float64(size("manifest", manifests[0])), "B/manifest")
			b.ReportMetric(float64(heapOf(e))/(1<<20), "MB/instance")
		})
	}
}

// heapOf returns the bytes that the configuration of one instance holds.
func heapOf(e estate) uint64 {
	manifest, chunks := e.compile(1, "")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	core := New(membership.Member{Instance: "i"}, rand.New(rand.NewPCG(1, 1)), Options{})
	if _, err := core.StoreRead(time.Time{}, manifest, chunks); err != nil {
		panic(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := after.HeapAlloc - before.HeapAlloc
	for _, content := range chunks { // shared with the compiled text here
		held += uint64(len(content))
	}
	runtime.KeepAlive(core)
	return held
}
