package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const traceLog = `12.5 front-1 {"level":"info","instance":"front-1","error":"exchange failed at read: EOF","request":"r1","endpoint":"e1","try":"lost","time":"2026-01-01T00:00:02Z","message":"try failed"}
{"level":"warn","instance":"front-1","request":"r1","revision":9,"version":4,"status":502,"reason":"upstream-failed","time":"2026-01-01T00:00:03Z","message":"request was refused"}
{"level":"warn","instance":"front-2","request":"r10","reason":"no-capacity","time":"2026-01-01T00:00:01Z","message":"request was refused"}
not a JSON line {"request":"r1"
`

func TestTraceShowsOnlyLinesOfItsRequest(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "log")
	g.Expect(os.WriteFile(file, []byte(traceLog), 0o600)).To(Succeed())
	var out bytes.Buffer
	environment := &Environment{Out: &out}
	g.Expect((&Trace{ID: "r1", Files: []string{file}}).Run(environment)).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(3))
	g.Expect(lines[0]).To(ContainSubstring("try=lost"))
	g.Expect(lines[2]).To(HavePrefix("cause: an endpoint dropped the request after it was sent; it may have run"))
	g.Expect(lines[2]).To(ContainSubstring("configuration version 4, store revision 9"))
	out.Reset()
	g.Expect((&Trace{ID: "r10", Files: []string{file}}).Run(environment)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("has not run"))
	g.Expect((&Trace{ID: "r2", Files: []string{file}}).Run(environment)).
		To(MatchError(&NotTracedError{Request: "r2"}))
}
