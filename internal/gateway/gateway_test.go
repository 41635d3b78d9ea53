package gateway

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
	"lovagescale/internal/workspacekey"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// recordingStage is a stage that records the last call.
type recordingStage struct{ lastCall *call.Call }

func (r *recordingStage) Serve(_ context.Context, c *call.Call) (*call.Result, error) {
	r.lastCall = c
	header := http.Header{"Content-Length": {"5"}, "Connection": {"close"}}
	return &call.Result{Answer: &upstream.Answer{Status: http.StatusOK, Header: header, Body: []byte("whole")}}, nil
}

var _ = Describe("Gateway", func() {
	var (
		next    *recordingStage
		gateway *Gateway
		key     string
		record  workspacekey.Record
		current *configuration.Configuration
	)

	BeforeEach(func() {
		var err error
		key, record, err = workspacekey.Generate(rand.Reader, "azul")
		Expect(err).NotTo(HaveOccurred())
		service := configuration.Service{Name: "files", Timeout: time.Second, Routes: []configuration.Route{
			{Name: "send", Path: "/send", Methods: []string{"POST"}, Kind: configuration.Action},
			{Name: "about", Path: "/about", Methods: []string{"GET"}, Kind: configuration.Lookup, Open: true},
			{Name: "read", Path: "/", Methods: []string{"GET", "HEAD"}, Kind: configuration.Lookup},
		}}
		current = &configuration.Configuration{
			Revision:   1,
			Services:   map[string]configuration.Service{"files": service, "other": {Name: "other", Routes: service.Routes}},
			Workspaces: map[string]configuration.Workspace{"azul": {Name: "azul", Services: []string{"files"}}},
			Keys:       map[string]workspacekey.Record{record.Identifier: record},
		}
		next = &recordingStage{}
		gateway = New(time.Now, next, zerolog.Nop(), metrics.NewRegistry(), Options{MaxBodyBytes: 16, MaxHeaderBytes: 512})
		gateway.ApplyConfiguration(current)
	})

	send := func(method, path, body string, header http.Header) *httptest.ResponseRecorder {
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		for name, values := range header {
			request.Header[name] = values
		}
		answer := httptest.NewRecorder()
		gateway.ServeHTTP(answer, request)
		return answer
	}
	// An action that is taken for idempotent would be started before its turn.
	DescribeTable("knows which requests are idempotent", func(method, path string, expected bool) {
		Expect(gateway.IsIdempotent(httptest.NewRequest(method, path, nil))).To(Equal(expected))
	},
		Entry(nil, "GET", "/files/a", true),
		Entry(nil, "POST", "/files/send", false),
		Entry(nil, "DELETE", "/files/a", false),
		Entry(nil, "GET", "/unknown/a", false),
	)

	headerWith := func(pairs ...string) http.Header {
		header := http.Header{"Authorization": {"Bearer " + key}}
		for i := 0; i < len(pairs); i += 2 {
			header.Add(pairs[i], pairs[i+1])
		}
		return header
	}

	DescribeTable("refuses bad input as not-run, with a request identifier and a stable type",
		func(status int, kind refusal.Kind, method, path, body string, header func() http.Header) {
			answer := send(method, path, body, header())
			Expect(answer.Code).To(Equal(status))
			Expect(answer.Header().Get(refusal.HeaderOutcome)).To(Equal("not-run"))
			Expect(answer.Header().Get(refusal.HeaderRequestID)).NotTo(BeEmpty())
			Expect(answer.Header().Get("Content-Type")).To(Equal("application/problem+json"))
			Expect(answer.Body.String()).To(ContainSubstring("urn:lovagescale:problem:" + string(kind) + `"`))
			Expect(answer.Body.String()).NotTo(ContainSubstring(key))
			Expect(next.lastCall).To(BeNil())
		},
		Entry("no workspace key", 401, refusal.KeyMissing, "GET", "/files/1", "", func() http.Header { return nil }),
		Entry("other authorization scheme", 401, refusal.KeyMissing, "GET", "/files/1", "", func() http.Header {
			return http.Header{"Authorization": {"Basic " + key}}
		}),
		Entry("unknown workspace key", 401, refusal.KeyUnknown, "GET", "/files/1", "", func() http.Header {
			return http.Header{"Authorization": {"Bearer aa_bb"}}
		}),
		Entry("known identifier, wrong secret", 401, refusal.KeyUnknown, "GET", "/files/1", "", func() http.Header {
			return http.Header{"Authorization": {"Bearer " + record.Identifier + "_00"}}
		}),
		Entry("service that the workspace may not use", 403, refusal.ServiceNotPermitted, "GET", "/other/1", "", func() http.Header { return headerWith() }),
		Entry("unknown service", 404, refusal.ServiceUnknown, "GET", "/none/1", "", func() http.Header { return headerWith() }),
		Entry("unknown route", 404, refusal.RouteUnknown, "DELETE", "/files/1", "", func() http.Header { return headerWith() }),
		Entry("action without an idempotency key", 400, refusal.IdempotencyKeyMissing, "POST", "/files/send", "", func() http.Header { return headerWith() }),
		Entry("action with two idempotency keys", 400, refusal.IdempotencyKeyInvalid, "POST", "/files/send", "", func() http.Header {
			return headerWith("Idempotency-Key", "a.1", "Idempotency-Key", "a.2")
		}),
		Entry("timeout of 0", 400, refusal.DeadlineInvalid, "GET", "/files/1", "", func() http.Header {
			return headerWith("Lovage-Timeout-Ms", "0")
		}),
		Entry("large body", 413, refusal.BodyTooLarge, "POST", "/files/send", strings.Repeat("x", 17), func() http.Header {
			return headerWith("Idempotency-Key", "a.1")
		}),
		Entry("large headers", 431, refusal.HeadersTooLarge, "GET", "/files/1", "", func() http.Header {
			return headerWith("X-Large", strings.Repeat("x", 512))
		}),
	)

	DescribeTable("corrects the outcome of an action that is refused before the action stage",
		func(want string, method, path string, withdrawn bool, pairs ...string) {
			gateway.refusalOutcome = func(workspace, key string) refusal.Outcome {
				if workspace == "azul" && key == "a.new" {
					return refusal.NotRun
				}
				return refusal.Unknown
			}
			if withdrawn {
				current.Keys[record.Identifier] = record.Tombstone()
			}
			answer := send(method, path, "", headerWith(pairs...))
			Expect(answer.Code).To(BeNumerically(">=", 400))
			Expect(answer.Header().Get(refusal.HeaderOutcome)).To(Equal(want))
			stoppingAnswer := httptest.NewRecorder()
			request := httptest.NewRequest(method, path, nil)
			request.Header = headerWith(pairs...)
			gateway.Refuse(stoppingAnswer, request, refusal.New(503, refusal.Stopping, refusal.NotRun, ""))
			Expect(stoppingAnswer.Header().Get(refusal.HeaderOutcome)).To(Equal(want))
			Expect(stoppingAnswer.Header().Get(refusal.HeaderRequestID)).NotTo(BeEmpty())
		},
		Entry("key that may have run", "unknown", "POST", "/files/send", true, "Idempotency-Key", "a.ran"),
		Entry("key that has not run", "not-run", "POST", "/files/send", true, "Idempotency-Key", "a.new"),
		Entry("service that was removed", "unknown", "POST", "/none/send", false, "Idempotency-Key", "a.ran"),
		Entry("lookup", "not-run", "GET", "/none/1", false),
	)

	It("removes the workspace key, the cookies and the headers of the connection from the call", func() {
		answer := send("GET", "/files/a?b=c", "", headerWith("Cookie", "k="+key, "Connection", "X-Private", "X-Private", "1", "Lovage-Workspace", "verde"))
		Expect(answer.Code).To(Equal(http.StatusOK))
		Expect(next.lastCall.Workspace).To(Equal("azul"))
		Expect(next.lastCall.Request.Target).To(Equal("/a?b=c"))
		Expect(next.lastCall.Request.Header).To(Equal(http.Header{"Lovage-Workspace": {"azul"}}))
	})

	It("serves routes that are open to all without a workspace key", func() {
		Expect(send("GET", "/files/about", "", nil).Code).To(Equal(http.StatusOK))
		Expect(next.lastCall.Workspace).To(BeEmpty())
	})

	It("keeps the Content-Length of an answer to HEAD and drops headers of the upstream's connection", func() {
		answer := send("HEAD", "/files/1", "", headerWith())
		Expect(answer.Header().Get("Content-Length")).To(Equal("5"))
		Expect(answer.Header().Get("Connection")).To(BeEmpty())
		Expect(answer.Header().Get(refusal.HeaderOutcome)).To(Equal("ran"))
	})

	It("verifies the workspace key of each request on an open connection", func() {
		server := httptest.NewServer(gateway)
		defer server.Close()
		get := func() int {
			request, err := http.NewRequest(http.MethodGet, server.URL+"/files/1", nil)
			Expect(err).NotTo(HaveOccurred())
			request.Header = headerWith()
			answer, err := server.Client().Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer answer.Body.Close()
			return answer.StatusCode
		}
		Expect(get()).To(Equal(http.StatusOK))
		withdrawn := *current
		tombstone := record
		tombstone.Withdrawn = true
		withdrawn.Keys = map[string]workspacekey.Record{record.Identifier: tombstone}
		gateway.ApplyConfiguration(&withdrawn)
		Expect(get()).To(Equal(http.StatusForbidden))
	})

	It("refuses all requests before a configuration is active", func() {
		fresh := New(time.Now, next, zerolog.Nop(), metrics.NewRegistry(), Options{})
		answer := httptest.NewRecorder()
		fresh.ServeHTTP(answer, httptest.NewRequest("GET", "/files/about", nil))
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header().Get("Retry-After")).To(Equal("1"))
	})
})
