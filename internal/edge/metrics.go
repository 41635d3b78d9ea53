package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/fleet"
	"lovagescale/internal/placement"
	"lovagescale/internal/refusal"
)

// pathMetrics is the path of the metrics as text, with one name and value per line.
const pathMetrics = "/metrics"

// maxSeries bounds the number of series that are named after routes and workspaces.
// Further ones are counted under the name "other".
const maxSeries = 1000

// counters are the metrics that the instance updates as it runs.
type counters struct {
	registry    metrics.Registry
	seriesCount *atomic.Int64

	requests, answers, lookups                 metrics.Counter
	storeCalls, storeFailures, messageFailures metrics.Counter
	loans, returnedLoans, timedOutConns        metrics.Counter
	handovers, handoverFailures                metrics.Counter
	implausibleLoads                           metrics.Counter
	completionRatio                            metrics.Histogram
	latency                                    metrics.Timer
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		registry:         registry,
		seriesCount:      new(atomic.Int64),
		requests:         metrics.GetOrRegisterCounter("edge.requests", registry),
		answers:          metrics.GetOrRegisterCounter("edge.answered", registry),
		lookups:          metrics.GetOrRegisterCounter("edge.lookups", registry),
		storeCalls:       metrics.GetOrRegisterCounter("edge.store.calls", registry),
		storeFailures:    metrics.GetOrRegisterCounter("edge.store.failures", registry),
		messageFailures:  metrics.GetOrRegisterCounter("edge.peer.failures", registry),
		loans:            metrics.GetOrRegisterCounter("edge.quota.loans", registry),
		returnedLoans:    metrics.GetOrRegisterCounter("edge.quota.returned", registry),
		handovers:        metrics.GetOrRegisterCounter("edge.handovers", registry),
		handoverFailures: metrics.GetOrRegisterCounter("edge.handovers.not_taken", registry),
		timedOutConns:    metrics.GetOrRegisterCounter("edge.callers.quiet_closed", registry),
		completionRatio:  metrics.GetOrRegisterHistogram("edge.completion.ratio", registry, metrics.NewExpDecaySample(1028, 0.015)),
		implausibleLoads: metrics.GetOrRegisterCounter("edge.endpoints.implausible_loads", registry),
		latency:          metrics.GetOrRegisterTimer("edge.latency", registry),
	}
}

// recordAnswer counts an answer of an endpoint by its status class, route and
// workspace.
func (c *counters) recordAnswer(q *request, status int, took time.Duration) {
	c.answers.Inc(1)
	c.latency.Update(took)
	c.countSeries("edge.answered.route", q.route.Name, fmt.Sprint(status/100, "xx"))
	c.countSeries("edge.answered.workspace", q.workspaceName(), fmt.Sprint(status/100, "xx"))
}

// recordRefusal counts a refusal by its reason, route and workspace.
func (c *counters) recordRefusal(q *request, refused *refusal.Refusal) {
	reason := string(refused.Kind)
	metrics.GetOrRegisterCounter("edge.refused."+reason, c.registry).Inc(1)
	if q.route != nil {
		c.countSeries("edge.refused.route", q.route.Name, reason)
		c.countSeries("edge.refused.workspace", q.workspaceName(), reason)
	}
}

// recordAttempt counts an attempt at an endpoint by its result.
func (c *counters) recordAttempt(result placement.Result) {
	metrics.GetOrRegisterCounter("edge.tries."+result.String(), c.registry).Inc(1)
}

// recordHandover counts a request that another instance took or did not take.
func (c *counters) recordHandover(taken bool) {
	if taken {
		c.handovers.Inc(1)
	} else {
		c.handoverFailures.Inc(1)
	}
}

// countSeries counts an event in a series of its own as long as there are fewer than
// maxSeries.
func (c *counters) countSeries(prefix, name, detail string) {
	if name == "" {
		return
	}
	series := prefix + "." + name + "." + detail
	if c.registry.Get(series) == nil && c.seriesCount.Add(1) > maxSeries {
		series = prefix + ".other." + detail
	}
	metrics.GetOrRegisterCounter(series, c.registry).Inc(1)
}

// serveMetrics adds the metrics as text to the operators' port.
func (e *Edge) serveMetrics(app *iris.Application) {
	app.Get(pathMetrics, func(ctx iris.Context) {
		ctx.ContentType("text/plain")
		e.updateGauges(time.Now())
		e.updateTrafficGauges(ctx.Request().Context())
		if err := writeMetrics(ctx.ResponseWriter(), e.registry); err != nil {
			e.log.Debug().Err(err).Msg("client disconnected while it read the metrics")
		}
	})
}

// updateGauges sets the gauges, which are only measured when the metrics are read.
func (e *Edge) updateGauges(now time.Time) {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, e.registry).Update(value) }
	set("edge.store.age_ms", e.storeAge(now).Milliseconds())
	set("edge.store.era", int64(e.position.Load().Era))
	set("edge.store.revision", int64(e.position.Load().Revision))
	set("edge.instances", e.instanceCount.Load())
	e.setMemoryGauges(set)
	if c := e.catalog.Load(); c != nil {
		set("edge.configuration.version", int64(c.Version))
	}
	inFlight, usable := int64(0), int64(0)
	for _, endpoint := range e.table.Load().Endpoints() {
		description := endpoint.Describe(now)
		inFlight += int64(description.InFlight)
		if description.Usable {
			usable++
		}
	}
	set("edge.endpoints.usable", usable)
	set("edge.in_flight", inFlight)
	e.updateShareGauges()
}

// updateTrafficGauges sets the gauges of the traffic with other instances.
func (e *Edge) updateTrafficGauges(ctx context.Context) {
	var peers []fleet.Member
	if err := e.loop.Call(ctx, func() { peers = e.state.fleet.Peers() }); err != nil {
		return // the instance is stopping
	}
	for _, t := range e.peerTraffic(peers) {
		prefix := fmt.Sprintf("edge.peer.%s.%s.", t.Type, t.Border)
		metrics.GetOrRegisterGauge(prefix+"calls", e.registry).Update(t.Calls)
		metrics.GetOrRegisterGauge(prefix+"sent_bytes", e.registry).Update(t.SentBytes)
		metrics.GetOrRegisterGauge(prefix+"received_bytes", e.registry).Update(t.ReceivedBytes)
	}
}

// writeMetrics writes all series ordered by name.
func writeMetrics(out io.Writer, registry metrics.Registry) error {
	var lines []string
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			q := m.Percentiles([]float64{0.5, 0.9, 0.99})
			lines = append(lines, fmt.Sprintf("%s.count %d", name, m.Count()),
				fmt.Sprintf("%s.p50 %.0f", name, q[0]), fmt.Sprintf("%s.p90 %.0f", name, q[1]), fmt.Sprintf("%s.p99 %.0f", name, q[2]))
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
