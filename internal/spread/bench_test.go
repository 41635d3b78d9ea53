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

// frameOverhead is the size of a frame's length field and version byte.
const frameOverhead = 5

// configurationSize holds the number of objects of each kind in a generated configuration.
type configurationSize struct{ regions, zones, services, workspaces, blocks int }

// text returns a configuration text of this size. The parameter extraBlock is "" or a quoted
// client block that is added to the first zone.
func (size configurationSize) text(extraBlock string) *configuration.Text {
	var t strings.Builder
	for i := range size.regions {
		fmt.Fprintf(&t, "[region.r%d]\n", i)
	}
	for i := range size.zones {
		fmt.Fprintf(&t, "[zone.z%d]\nregion = \"r%d\"\nclient_blocks = [", i, i%size.regions)
		for j := range size.blocks / size.zones {
			n := i*(size.blocks/size.zones) + j
			fmt.Fprintf(&t, "\"%d.%d.%d.0/24\",", 1+n>>16, n>>8&255, n&255)
		}
		if i == 0 {
			t.WriteString(extraBlock)
		}
		t.WriteString("]\n")
	}
	for i := range size.services {
		fmt.Fprintf(&t, "[service.s%d]\nslots = 1\nconnections = 1\ntimeout = \"1s\"\n", i)
		fmt.Fprintf(&t, "route.read = {path = \"/\", methods = [\"GET\"], kind = \"lookup\"}\n")
		fmt.Fprintf(&t, "endpoints = {z%d = [\"10.%d.%d.1:80\", \"10.%d.%d.2:80\"]}\n", i%size.zones, i>>8, i&255, i>>8, i&255)
	}
	for i := range size.workspaces {
		fmt.Fprintf(&t, "[workspace.w%d]\nrate = \"10/s\"\nburst = 10\nservices = [\"s0\"]\n", i)
	}
	text, err := configuration.Parse("bench", []byte(t.String()))
	if err != nil {
		panic(err)
	}
	return text
}

// compile returns the manifest and the chunks of the text as the given revision.
func (size configurationSize) compile(revision uint64, extraBlock string) (configuration.Manifest, configuration.Chunks) {
	chunkNames, chunks, err := size.text(extraBlock).Compile()
	if err != nil {
		panic(err)
	}
	return configuration.Manifest{Revision: revision, ChangeID: fmt.Sprint("change ", revision), Chunks: chunkNames}, chunks
}

// fleet is a set of cores. A message that is sent in one round is delivered in the next.
type fleet struct {
	cores           []*Core
	indexByInstance map[string]int
	now             time.Time
	pending         []func()
	bytesByInstance []int
	frames          int
}

// newFleet returns a fleet in which all cores have revision 1 of a configuration.
func newFleet(instances int, size configurationSize) *fleet {
	f := &fleet{indexByInstance: make(map[string]int), now: time.Unix(0, 0), bytesByInstance: make([]int, instances)}
	var members []membership.Member
	for i := range instances {
		member := membership.Member{Instance: fmt.Sprint("i", i), Zone: fmt.Sprint("z", i%size.zones), State: instancelist.Live}
		members = append(members, member)
		f.indexByInstance[member.Instance] = i
	}
	manifest, chunks := size.compile(1, "")
	for i := range instances {
		core := New(members[i], rand.New(rand.NewPCG(1, uint64(i))), Options{})
		core.SetMembers(members)
		if _, err := core.HandleStoreRead(f.now, manifest, chunks); err != nil {
			panic(err)
		}
		f.cores = append(f.cores, core)
	}
	return f
}

// frameSize returns the size of a message on the wire.
func frameSize(messageType string, body any) int {
	envelope, err := wire.Encode(messageType, 1, body)
	if err != nil {
		panic(err)
	}
	return len(envelope.Body) + len(messageType) + frameOverhead
}

// send adds the size of a message to the traffic of both ends and delivers the message in the
// next round.
func (f *fleet) send(from, to int, messageType string, body any, deliver func()) {
	n := frameSize(messageType, body)
	f.bytesByInstance[from] += n
	f.bytesByInstance[to] += n
	f.frames++
	f.pending = append(f.pending, deliver)
}

// applyOutput sends the messages in the output of core i.
func (f *fleet) applyOutput(i int, out Output) {
	for _, call := range out.Exchanges {
		j := f.indexByInstance[call.Peer.Instance]
		f.send(i, j, TypeExchange, call.Summary, func() {
			reply, peerOutput := f.cores[j].HandleExchange(f.now, call.Summary)
			f.send(j, i, "reply", reply, func() { f.applyOutput(i, f.cores[i].HandleExchangeReply(f.now, f.now, reply)) })
			f.applyOutput(j, peerOutput)
		})
	}
	for _, call := range out.Pulls {
		j := f.indexByInstance[call.Peer.Instance]
		f.send(i, j, TypePull, call.Request, func() {
			reply := f.cores[j].HandlePull(f.now, call.Request)
			f.send(j, i, "reply", reply, func() {
				f.applyOutput(i, f.cores[i].HandlePullReply(f.now, f.now, call.Peer.Instance, call.Request, reply))
			})
		})
	}
}

// deliverRound delivers the messages that were pending when it was called.
func (f *fleet) deliverRound() {
	messages := f.pending
	f.pending = nil
	for _, message := range messages {
		message()
	}
}

// propagate makes the watchers read a revision from the store and returns the number of rounds
// until all cores have it. A round is one message delay.
func (f *fleet) propagate(manifest configuration.Manifest, chunks configuration.Chunks) int {
	for i, core := range f.cores {
		if core.Watching() {
			out, err := core.HandleStoreRead(f.now, manifest, chunks)
			if err != nil {
				panic(err)
			}
			f.applyOutput(i, out)
		}
	}
	rounds := 0
	for ; !f.allHave(manifest.Revision); rounds++ {
		if len(f.pending) == 0 {
			panic("no messages left before all instances had the revision")
		}
		f.deliverRound()
	}
	for len(f.pending) > 0 {
		f.deliverRound()
	}
	return rounds
}

// allHave reports whether all cores have the revision.
func (f *fleet) allHave(revision uint64) bool {
	for _, core := range f.cores {
		if core.Revision() != revision {
			return false
		}
	}
	return true
}

// traffic returns the mean and the highest number of bytes per instance, and resets the
// counts.
func (f *fleet) traffic() (mean, busiest float64) {
	for i, n := range f.bytesByInstance {
		mean += float64(n)
		busiest = max(busiest, float64(n))
		f.bytesByInstance[i] = 0
	}
	return mean / float64(len(f.bytesByInstance)), busiest
}

// benchSizes are the fleet sizes to measure.
var benchSizes = []struct{ instances, zones, regions int }{
	{12, 6, 3}, {48, 12, 6}, {150, 30, 10}, {600, 60, 20}, {2300, 150, 48},
}

// BenchmarkSpreadChange measures the propagation of one changed client block through a whole
// fleet: the bytes that an instance sends and receives, and the rounds.
func BenchmarkSpreadChange(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d/zones=%d/regions=%d", s.instances, s.zones, s.regions), func(b *testing.B) {
			size := configurationSize{regions: s.regions, zones: s.zones, services: 10, workspaces: 20, blocks: 500 * s.zones}
			f := newFleet(s.instances, size)
			watchers := 0
			for _, core := range f.cores {
				if core.Watching() {
					watchers++
				}
			}
			rounds, revision := 0, uint64(1)
			for b.Loop() {
				revision++
				manifest, chunks := size.compile(revision, fmt.Sprintf("\"200.%d.%d.0/24\"", revision>>8, revision&255))
				rounds += f.propagate(manifest, chunks)
			}
			mean, busiest := f.traffic()
			n := float64(b.N)
			b.ReportMetric(mean/n, "B/node/change")
			b.ReportMetric(busiest/n, "B/busiest/change")
			b.ReportMetric(float64(rounds)/n, "rounds")
			b.ReportMetric(float64(watchers), "watchers")
		})
	}
}

// BenchmarkSpreadIdle measures the periodic exchanges of a fleet in one second.
func BenchmarkSpreadIdle(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("instances=%d", s.instances), func(b *testing.B) {
			f := newFleet(s.instances, configurationSize{regions: s.regions, zones: s.zones, services: 1, workspaces: 1})
			for b.Loop() {
				for i, core := range f.cores {
					f.applyOutput(i, core.Tick(f.now))
				}
				for len(f.pending) > 0 {
					f.deliverRound()
				}
			}
			mean, _ := f.traffic()
			b.ReportMetric(mean/float64(b.N), "B/node/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(s.instances), "us/node/s")
		})
	}
}

// targetSize is the configuration size that the system is designed for.
var targetSize = configurationSize{regions: 48, zones: 150, services: 1500, workspaces: 1000, blocks: 610_000}

// BenchmarkTakeChange measures at targetSize, and with fewer client blocks, how one instance
// processes a change of one client block: the time, and the bytes of the difference.
func BenchmarkTakeChange(b *testing.B) {
	for _, blocks := range []int{61_000, 305_000, 610_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			size := targetSize
			size.blocks = blocks
			f := newFleet(2, size)
			manifests := make([]configuration.Manifest, 2)
			chunkSets := make([]configuration.Chunks, 2)
			for i := range manifests {
				manifests[i], chunkSets[i] = size.compile(0, fmt.Sprintf("\"200.0.%d.0/24\"", i))
			}
			bytes, revision := 0, uint64(1)
			for b.Loop() {
				revision++
				manifest := manifests[revision%2]
				manifest.Revision = revision
				manifest.ChangeID = fmt.Sprint("change ", revision)
				b.StopTimer()
				if _, err := f.cores[0].HandleStoreRead(f.now, manifest, chunkSets[revision%2]); err != nil {
					b.Fatal(err)
				}
				request := PullRequest{Revision: f.cores[1].Revision(), ChangeID: f.cores[1].Manifest().ChangeID}
				reply := f.cores[0].HandlePull(f.now, request)
				bytes += frameSize("reply", reply)
				f.cores[1].currentPull = &pull{peer: f.cores[0].self, requestedAt: f.now, chunks: make(configuration.Chunks)}
				b.StartTimer()
				f.cores[1].HandlePullReply(f.now, f.now, f.cores[0].self.Instance, request, reply)
				if f.cores[1].Revision() != revision {
					b.Fatal("difference was not accepted")
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/change")
			b.ReportMetric(float64(frameSize("manifest", manifests[0])), "B/manifest")
			b.ReportMetric(float64(heapBytes(size))/(1<<20), "MB/instance")
		})
	}
}

// heapBytes returns the bytes that the configuration of one instance uses.
func heapBytes(size configurationSize) uint64 {
	manifest, chunks := size.compile(1, "")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	core := New(membership.Member{Instance: "i"}, rand.New(rand.NewPCG(1, 1)), Options{})
	if _, err := core.HandleStoreRead(time.Time{}, manifest, chunks); err != nil {
		panic(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	total := after.HeapAlloc - before.HeapAlloc
	for _, content := range chunks { // not part of the growth, since they were compiled before
		total += uint64(len(content))
	}
	runtime.KeepAlive(core)
	return total
}
