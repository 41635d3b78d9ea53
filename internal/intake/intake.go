// Package intake bounds what clients can make a process hold, over all of its listeners: their
// connections, heads, bodies, requests that were read ahead, answers that are not taken, messages
// and the kernel's buffers. One Intake owns the memory and the descriptors of a process; each
// listener gets its limits from it.
//
// Failure modes: see packages listener, pipeline and bodymemory for who is refused first.
package intake

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/link"
	"lovagescale/internal/listener"
	"lovagescale/internal/operator"
	"lovagescale/internal/pipeline"
	"lovagescale/internal/refusal"
	"lovagescale/internal/settings"
)

// defaultMaxHeadBytes is the limit of heads of listeners that have no other one.
const defaultMaxHeadBytes = 64 << 10

// Intake owns what clients can make a process hold. It is safe for concurrent use.
type Intake struct {
	// Memory is that for all kinds of what is held in the process.
	Memory *bodymemory.Memory
	// ReadAhead and Buffers are the parts of Memory for requests that were read ahead and for
	// larger buffers of the kernel.
	ReadAhead, Buffers *bodymemory.Account

	// connections are those of callers, auxiliary those of all other listeners.
	connections, auxiliary, heads, linkMessages *bodymemory.Account

	process  settings.Process
	plan     listener.Plan
	registry metrics.Registry
	prefix   string
	log      zerolog.Logger
	parts    []listener.Part

	mu        sync.Mutex
	listeners []*listener.Limited
}

// New returns the intake of a process with the given limits and listeners. The names of its metrics
// begin with prefix.
func New(process settings.Process, parts []listener.Part, registry metrics.Registry, prefix string, log zerolog.Logger) *Intake {
	memory := bodymemory.New(bodymemory.LimitOf(process.MemoryBytes()))
	return &Intake{
		Memory:       memory,
		ReadAhead:    memory.NewAccount(bodymemory.ReadAhead, memory.AccountLimit()),
		Buffers:      memory.NewAccount(bodymemory.Buffers, memory.AccountLimit()),
		connections:  memory.NewAccount(bodymemory.Connections, memory.Limit()),
		auxiliary:    memory.NewGrantedAccount(bodymemory.Connections),
		heads:        memory.NewAccount(bodymemory.Heads, memory.AccountLimit()),
		linkMessages: memory.NewAccount(bodymemory.LinkMessages, memory.AccountLimit()),
		process:      process, plan: listener.NewPlan(process.MemoryBytes(), process.MaxDescriptors),
		registry: registry, prefix: prefix, log: log, parts: parts,
	}
}

// Limits returns the limits of the connections of a listener.
func (i *Intake) Limits(part listener.Part) listener.Limits { return i.plan.Limits(part) }

// Listener returns the options of a listener. The connections of callers give way to their requests;
// those of other listeners do not, so that callers take nothing of them.
func (i *Intake) Listener(name string, part listener.Part) listener.Options {
	memory := i.auxiliary
	if part == listener.PartCallers {
		memory = i.connections
	}
	return listener.Options{Name: name, Limits: i.Limits(part), Memory: memory, Register: i.register, Registry: i.registry, Prefix: i.prefix, Log: i.log}
}

func (i *Intake) register(l *listener.Limited) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.listeners = append(i.listeners, l)
}

// Heads returns the limits of heads. maxBytes returns the largest size without separators, and
// refuse writes a refusal; nil stands for the defaults.
func (i *Intake) Heads(maxBytes func() int, refuse func(http.ResponseWriter, *refusal.Refusal)) *pipeline.HeadLimits {
	if maxBytes == nil {
		maxBytes = func() int { return defaultMaxHeadBytes }
	}
	if refuse == nil {
		refuse = func(w http.ResponseWriter, r *refusal.Refusal) { r.Write(w) }
	}
	return &pipeline.HeadLimits{MaxBytes: maxBytes, Memory: i.heads, Refusal: func(tooLarge bool) []byte {
		return pipeline.RawResponse(func(w http.ResponseWriter) { refuse(w, headRefusal(tooLarge)) })
	}}
}

// noMemoryRetryAfter is the time after which a caller may retry for whose head no memory was left.
const noMemoryRetryAfter = time.Second

// headRefusal returns the refusal of a request whose head is not read to its end.
func headRefusal(tooLarge bool) *refusal.Refusal {
	if tooLarge {
		return refusal.New(http.StatusRequestHeaderFieldsTooLarge, refusal.HeadersTooLarge, refusal.NotRun, "headers are above the limit")
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun, "no memory for the headers").
		WithRetryAfter(noMemoryRetryAfter)
}

// Server returns the limits of a server whose requests are short.
func (i *Intake) Server(name string, part listener.Part) operator.Limits {
	return operator.Limits{Listener: i.Listener(name, part), Heads: i.Heads(nil, nil), ReadAhead: i.ReadAhead}
}

// Link returns the limits of the server of a link.
func (i *Intake) Link() link.Limits {
	return link.Limits{Listener: i.Listener("link", listener.PartLink), Messages: i.linkMessages, Buffers: i.Buffers}
}

// watchInterval is the interval of the checks for callers that read nothing and for memory that can
// be returned to the operating system.
const watchInterval = 250 * time.Millisecond

// Watch disconnects stalled callers and returns the memory of a peak to the operating system, until
// ctx ends.
func (i *Intake) Watch(ctx context.Context) {
	trims := metrics.GetOrRegisterCounter(i.prefix+"memory.trims", i.registry)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		i.Memory.DisconnectStalled()
		if i.Memory.TrimDue() {
			debug.FreeOSMemory()
			trims.Inc(1)
		}
	}
}

// Description is the state in the dump for operators: the terms of the sum of what the process can
// hold at most, in bytes.
type Description struct {
	// Memory is the memory of the process, Descriptors its file descriptors.
	Memory      int64 `json:"memory"`
	Descriptors int   `json:"descriptors"`
	// HeapLimit is what the process holds itself, with the limit of Held and garbage.
	// KernelLimit is what the kernel holds for the listeners, and Program the pages of the program.
	HeapLimit   int64 `json:"heap_limit"`
	KernelLimit int64 `json:"kernel_limit"`
	Program     int64 `json:"program"`
	// Sum is the sum of the three terms.
	Sum int64 `json:"sum"`
	// Held is what the process holds for clients, by kind.
	Held bodymemory.Description `json:"held"`
	// Connections is the sum of the limits of all listeners. The rest of the descriptors is for
	// files and for connections that the process opens.
	Connections int `json:"connections"`
	// Listeners are the open listeners.
	Listeners []listener.Description `json:"listeners"`
}

// programBytes are the pages of a program and of the runtime that no limit of the heap counts.
const programBytes = 10_000_000

// Describe returns the state for the dump.
func (i *Intake) Describe() Description {
	d := Description{Memory: i.process.MemoryBytes(), Descriptors: i.process.MaxDescriptors,
		HeapLimit: bodymemory.HeapLimit(i.process.MemoryBytes()), Program: programBytes, Held: i.Memory.Describe()}
	for _, part := range i.parts {
		d.KernelLimit += i.Limits(part).KernelBytes()
		d.Connections += i.Limits(part).MaxConns
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, l := range i.listeners {
		d.Listeners = append(d.Listeners, l.Describe())
	}
	d.Sum = d.HeapLimit + d.KernelLimit + d.Program
	return d
}
