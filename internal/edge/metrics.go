package edge

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/placement"
	"lovagescale/internal/refusal"
)

// pathMetrics serves the metrics as text, one name and value a line.
const pathMetrics = "/metrics"

// maxSeries bounds the series that are named after routes and workspaces; beyond
// it they count as "other".
const maxSeries = 1000

// counters count what the instance does.
type counters struct {
	registry metrics.Registry
	series   *atomic.Int64

	requests, answered, lookUps             metrics.Counter
	storeCalls, storeFailures, talkFailures metrics.Counter
	loans, quietClosed                      metrics.Counter
	latency                                 metrics.Timer
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		registry:      registry,
		series:        new(atomic.Int64),
		requests:      metrics.GetOrRegisterCounter("edge.requests", registry),
		answered:      metrics.GetOrRegisterCounter("edge.answered", registry),
		lookUps:       metrics.GetOrRegisterCounter("edge.lookups", registry),
		storeCalls:    metrics.GetOrRegisterCounter("edge.store.calls", registry),
		storeFailures: metrics.GetOrRegisterCounter("edge.store.failures", registry),
		talkFailures:  metrics.GetOrRegisterCounter("edge.peer.failures", registry),
		loans:         metrics.GetOrRegisterCounter("edge.quota.loans", registry),
		quietClosed:   metrics.GetOrRegisterCounter("edge.callers.quiet_closed", registry),
		latency:       metrics.GetOrRegisterTimer("edge.latency", registry),
	}
}

// answer counts an endpoint's answer.
func (c *counters) answer(q *request, status int, took time.Duration) {
	c.answered.Inc(1)
	c.latency.Update(took)
	c.named("edge.answered.route", q.route.Name, fmt.Sprint(status/100, "xx"))
	c.named("edge.answered.workspace", q.workspaceName(), fmt.Sprint(status/100, "xx"))
}

// refuse counts a refusal by its reason, route and workspace.
func (c *counters) refuse(q *request, refused *refusal.Refusal) {
	reason := string(refused.Kind)
	metrics.GetOrRegisterCounter("edge.refused."+reason, c.registry).Inc(1)
	if q.route != nil {
		c.named("edge.refused.route", q.route.Name, reason)
		c.named("edge.refused.workspace", q.workspaceName(), reason)
	}
}

// try counts a try at an endpoint by its result.
func (c *counters) try(result placement.Result) {
	metrics.GetOrRegisterCounter("edge.tries."+result.String(), c.registry).Inc(1)
}

// named counts in a series of its own, while there are not too many.
func (c *counters) named(prefix, name, detail string) {
	if name == "" {
		return
	}
	series := prefix + "." + name + "." + detail
	if c.registry.Get(series) == nil && c.series.Add(1) > maxSeries {
		series = prefix + ".other." + detail
	}
	metrics.GetOrRegisterCounter(series, c.registry).Inc(1)
}

// serveMetrics adds the text form to the operators' port.
func (e *Edge) serveMetrics(app *iris.Application) {
	app.Get(pathMetrics, func(ctx iris.Context) {
		ctx.ContentType("text/plain")
		e.gauge(time.Now())
		if err := writeMetrics(ctx.ResponseWriter(), e.registry); err != nil {
			e.log.Debug().Err(err).Msg("reader of the metrics has gone")
		}
	})
}

// gauge sets what is measured when it is asked for.
func (e *Edge) gauge(now time.Time) {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, e.registry).Update(value) }
	set("edge.store.age_ms", e.storeAge(now).Milliseconds())
	set("edge.store.revision", int64(e.revision.Load()))
	set("edge.instances", e.instances.Load())
	set("edge.bodies.bytes", e.bodies.used.Load())
	if c := e.catalog.Load(); c != nil {
		set("edge.configuration.version", int64(c.Version))
	}
	own, usable := int64(0), int64(0)
	for _, endpoint := range e.table.Load().Endpoints() {
		d := endpoint.Describe(now)
		own += int64(d.InFlight)
		if d.Usable {
			usable++
		}
	}
	set("edge.endpoints.usable", usable)
	set("edge.in_flight", own)
}

// writeMetrics writes all series, ordered by name.
func writeMetrics(out io.Writer, registry metrics.Registry) error {
	var lines []string
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Timer:
			q := m.Percentiles([]float64{0.5, 0.99})
			lines = append(lines, fmt.Sprintf("%s.count %d", name, m.Count()),
				fmt.Sprintf("%s.p50_ms %.1f", name, q[0]/float64(time.Millisecond)),
				fmt.Sprintf("%s.p99_ms %.1f", name, q[1]/float64(time.Millisecond)))
		}
	})
	slices.SortFunc(lines, strings.Compare)
	w := bufio.NewWriter(out)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return w.Flush()
}
