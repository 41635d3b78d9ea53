package retryafter

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// behaviour is how refused callers return.
type behaviour int

const (
	asTold behaviour = iota
	immediately
	tooEarly // after a third of the time that they were told
)

// simCaller is one request of a caller, or its return.
type simCaller struct {
	at        time.Duration
	behaviour behaviour
	endpoint  int
	firstAt   time.Duration
	returns   bool
	promised  bool
}

type simQueue []*simCaller

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(*simCaller)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation lets callers send requests to instances with a book each, which share
// endpoints with four slots. Every request belongs to one endpoint.
type simulation struct {
	random  *rand.Rand
	books   []*Schedule
	demand  []float64 // moving average of the arrivals per second, by instance
	counts  []int
	ends    [][]time.Duration // of the requests in flight, by endpoint
	service time.Duration
	timeout time.Duration
	now     time.Duration
	queue   simQueue
	// opensAt is the end of an outage, which the endpoints announce.
	opensAt time.Duration
	// blind leaves the books without a known capacity, so that nothing is promised.
	blind bool
	// first, served and twice count first requests, callers that were answered and those
	// that were refused twice, by behaviour.
	first, served, twice [3]int
	// followed counts the promises whose callers returned as told, kept those of them whose
	// callers were admitted.
	followed, kept int
	// returned counts returns and promised places, by 100 ms.
	returned, promised map[time.Duration]int
	// wrongWait is a wait that contradicts what Promise reports of it.
	wrongWait time.Duration
}

const (
	simSlots = 4
	simLimit = 1.25
	// simAllowance is returnAllowance of internal/edge.
	simAllowance = 0.5
	simLatency   = 25 * time.Millisecond // a refusal's way, a connection and the next request's way
)

func newSimulation(seed uint64, instances, endpoints int, service, timeout time.Duration) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), service: service, timeout: timeout, ends: make([][]time.Duration, endpoints),
		books: make([]*Schedule, instances), demand: make([]float64, instances), counts: make([]int, instances),
		returned: make(map[time.Duration]int), promised: make(map[time.Duration]int)}
	for i := range s.books {
		s.books[i] = NewSchedule()
	}
	return s
}

// count starts the counts of callers and promises anew.
func (s *simulation) count() {
	s.first, s.served, s.twice = [3]int{}, [3]int{}, [3]int{}
	s.followed, s.kept = 0, 0
}

func (s *simulation) capacity() float64 {
	return float64(len(s.ends)*simSlots) / s.service.Seconds()
}

// run simulates a time with new requests at load times the capacity, of which some
// fractions return immediately or too early.
func (s *simulation) run(duration time.Duration, load, immediate, early float64) {
	const tick = 250 * time.Millisecond
	for until := s.now + duration; s.now < until; s.now += tick {
		for i, book := range s.books {
			if s.now == 0 { // the load has lasted for some time
				s.demand[i] = load * s.capacity() / float64(len(s.books))
				s.counts[i] = int(s.demand[i] * tick.Seconds())
			}
			s.demand[i] += 0.2 * (float64(s.counts[i])/tick.Seconds() - s.demand[i])
			s.counts[i] = 0
			if !s.blind {
				book.SetCapacity(at(s.now), "u", Capacity{Slots: float64(len(s.ends) * simSlots), ServiceTime: s.service,
					Share: 1 / float64(len(s.books)), Demand: s.demand[i]})
			}
		}
		for t := s.now + s.exponential(load); t < s.now+tick; t += s.exponential(load) {
			c := &simCaller{at: t, firstAt: t, endpoint: s.random.IntN(len(s.ends))}
			if p := s.random.Float64(); p < immediate {
				c.behaviour = immediately
			} else if p < immediate+early {
				c.behaviour = tooEarly
			}
			s.first[c.behaviour]++
			heap.Push(&s.queue, c)
		}
		for len(s.queue) > 0 && s.queue[0].at < s.now+tick {
			s.handle(heap.Pop(&s.queue).(*simCaller))
		}
	}
}

func (s *simulation) exponential(load float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / (load * s.capacity()) * float64(time.Second))
}

func at(t time.Duration) time.Time { return time.Unix(1000, 0).Add(t) }

// handle lets a request arrive at any instance.
func (s *simulation) handle(c *simCaller) {
	i := s.random.IntN(len(s.books))
	book, now := s.books[i], at(c.at)
	s.counts[i]++
	timeout := s.timeout - (c.at - c.firstAt)
	limit := simLimit
	if book.Observe("r", timeout) == Returning && book.Redeem(now, "u", "r", timeout) {
		limit += simAllowance
	} else {
		limit -= book.ReservedFraction(now, "u")
	}
	if c.returns {
		s.returned[c.at.Truncate(100*time.Millisecond)]++
	}
	admitted := s.admit(c, limit)
	if c.promised && c.behaviour == asTold {
		s.followed++
		if admitted {
			s.kept++
		}
	}
	switch {
	case admitted:
		s.served[c.behaviour]++
	case c.returns:
		s.twice[c.behaviour]++
	default:
		s.refuse(c, book, timeout)
	}
}

// refuse lets the caller return after the time that the book names.
func (s *simulation) refuse(c *simCaller, book *Schedule, timeout time.Duration) {
	pause := max(s.opensAt-c.at, 0)
	wait, promised := book.Promise(at(c.at), Refused{Upstream: "u", Route: "r", Timeout: timeout, TimeLeft: timeout, Earliest: pause}, s.random.Float64())
	switch {
	case promised:
		s.promised[(c.at+wait).Truncate(100*time.Millisecond)]++
		if wait < max(minPromise, pause) || wait >= LongestWait(timeout) {
			s.wrongWait = wait
		}
	case wait > 0 && wait <= LongestWait(timeout):
		s.wrongWait = wait
	case wait == 0:
		wait = pause + time.Duration((0.5+s.random.Float64())*float64(s.service)) // as internal/edge does
	}
	wait = min(wait, LongestWait(timeout))
	switch c.behaviour {
	case immediately:
		wait = 0
	case tooEarly:
		wait /= 3
	}
	back := *c
	back.at, back.returns, back.promised = c.at+wait+simLatency, true, promised
	heap.Push(&s.queue, &back)
}

// admit runs the request at its endpoint if the endpoint's utilization is below the limit.
func (s *simulation) admit(c *simCaller, limit float64) bool {
	if c.at < s.opensAt {
		return false
	}
	ends := s.ends[c.endpoint]
	for len(ends) > 0 && ends[0] <= c.at {
		ends = ends[1:]
	}
	admitted := float64(len(ends))/simSlots < limit
	if admitted {
		begin := c.at
		if len(ends) >= simSlots {
			begin = ends[len(ends)-simSlots]
		}
		end := begin + time.Duration((0.5+s.random.Float64())*float64(s.service))
		ends = append(ends, end)
		slices.Sort(ends)
	}
	s.ends[c.endpoint] = ends
	return admitted
}
