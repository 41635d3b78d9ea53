package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
	"lovagescale/internal/wire"
	"lovagescale/internal/workspacekey"
)

const configurationText = `[region.north]
[zone.n1]
region = "north"
[service.files]
slots = 1
connections = 1
timeout = "1s"
route.read = {path = "/", methods = ["GET"], kind = "lookup"}
[workspace.azul]
rate = "1/s"
burst = 1
services = ["files"]
isolation = "1m"
[workspace.verde]
rate = "1/s"
burst = 1
services = ["files"]
`

// fixture is a gateway with a workspace key for each workspace and a manual clock.
type fixture struct {
	now      time.Time
	gateway  *Gateway
	current  *configuration.Configuration
	keys     map[string]string
	lastCall *call.Call
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(5000, 0), keys: make(map[string]string)}
	parsed, err := configuration.Parse("text", []byte(configurationText))
	Expect(err).NotTo(HaveOccurred())
	f.current, err = parsed.Configuration()
	Expect(err).NotTo(HaveOccurred())
	for i, workspace := range []string{"azul", "verde"} {
		key, record, err := workspacekey.Generate(strings.NewReader(strings.Repeat(string(rune('a'+i)), 99)), workspace)
		Expect(err).NotTo(HaveOccurred())
		f.keys[workspace] = key
		f.current.Keys[record.Identifier] = record
	}
	next := call.StageFunc(func(_ context.Context, c *call.Call) (*call.Result, error) {
		f.lastCall = c
		return &call.Result{Answer: &upstream.Answer{Status: http.StatusOK}}, nil
	})
	f.gateway = New(func() time.Time { return f.now }, next, zerolog.Nop(), metrics.NewRegistry(), Options{Isolation: time.Hour})
	f.gateway.ApplyConfiguration(f.current)
	f.gateway.SetSyncedAt(f.now)
	return f
}

func (f *fixture) withdraw(workspace string) {
	identifier := workspacekey.Identifier(f.keys[workspace])
	f.gateway.ApplyConfiguration(f.current.WithKeysWithdrawn(map[string]struct{}{identifier: {}}))
}

func (f *fixture) send(workspace string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/files/x", nil)
	r.Header.Set(HeaderAuthorization, bearerPrefix+f.keys[workspace])
	w := httptest.NewRecorder()
	f.gateway.ServeHTTP(w, r)
	return w
}

// statusesOnOneConnection sends one request before and one after the withdrawal of the
// key on the same connection and returns their statuses.
func (f *fixture) statusesOnOneConnection() []int {
	server := httptest.NewServer(f.gateway)
	defer server.Close()
	dials := 0
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return new(net.Dialer).DialContext(ctx, network, address)
	}}}
	var statuses []int
	for range 2 {
		r, err := http.NewRequest(http.MethodGet, server.URL+"/files/x", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set(HeaderAuthorization, bearerPrefix+f.keys["azul"])
		answer, err := client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		statuses = append(statuses, answer.StatusCode)
		f.withdraw("azul")
	}
	Expect(dials).To(Equal(1))
	return statuses
}

var _ = Describe("workspace keys and isolation", func() {
	It("refuses a withdrawn key on an open connection", func() {
		Expect(newFixture().statusesOnOneConnection()).To(Equal([]int{http.StatusOK, http.StatusForbidden}))
	})

	It("detects a gateway that verifies the key only once per connection", func() {
		f := newFixture()
		var verified sync.Map
		f.gateway.authenticate = func(c *configuration.Configuration, r *http.Request, s configuration.Service, route configuration.Route) (string, *refusal.Refusal) {
			if workspace, known := verified.Load(r.RemoteAddr); known {
				return workspace.(string), nil
			}
			workspace, refused := authenticate(c, r, s, route)
			if refused == nil {
				verified.Store(r.RemoteAddr, workspace)
			}
			return workspace, refused
		}
		Expect(f.statusesOnOneConnection()).NotTo(Equal([]int{http.StatusOK, http.StatusForbidden}))
	})

	It("passes the workspace to the next stage, but not the key", func() {
		f := newFixture()
		Expect(f.send("azul").Code).To(Equal(http.StatusOK))
		Expect(f.lastCall.Request.Header.Get(upstream.HeaderWorkspace)).To(Equal("azul"))
		frame, err := wire.Encode("a hop to another entry", 1, f.lastCall)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(frame.Body)).To(ContainSubstring("azul"))
		Expect(string(frame.Body)).NotTo(ContainSubstring(strings.Split(f.keys["azul"], "_")[1]))
	})

	It("refuses requests of a workspace as not-run once its isolation time has passed", func() {
		f := newFixture()
		f.now = f.now.Add(time.Minute)
		Expect(f.send("azul").Code).To(Equal(http.StatusOK))
		f.now = f.now.Add(time.Second)
		refused := f.send("azul")
		Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header().Get(refusal.HeaderOutcome)).To(Equal(string(refusal.NotRun)))
		Expect(refused.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(refused.Body.String()).To(ContainSubstring(string(refusal.Isolated)))
		Expect(f.send("verde").Code).To(Equal(http.StatusOK), "the entry's default isolation time applies")
		f.now = f.now.Add(time.Hour)
		Expect(f.send("verde").Code).To(Equal(http.StatusServiceUnavailable))
		f.gateway.SetSyncedAt(f.now)
		Expect(f.send("azul").Code).To(Equal(http.StatusOK))
	})
})
