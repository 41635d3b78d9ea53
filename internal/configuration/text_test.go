package configuration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/tomlfile"
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configuration")
}

// validText is a text without problems. Each key is on a line of its own, so that
// the tests can tell the line of a problem.
const validText = `[region.north]
shift_cap = "5/s"
[zone.n1]
region = "north"
client_blocks = ["10.1.0.0/16"]
[service.files]
depends_on = []
slots = 4
connections = 8
timeout = "1s"
[service.files.endpoints]
n1 = ["127.0.0.1:1"]
[service.files.route.read]
path = "/"
methods = ["GET"]
kind = "lookup"
[workspace.azul]
rate = "10/s"
burst = 20
services = ["files"]
isolation = "10m"
`

func parseProblems(text string) tomlfile.Problems {
	_, err := Parse("configuration.toml", []byte(text))
	if err == nil {
		return nil
	}
	var problems tomlfile.Problems
	ExpectWithOffset(1, err).To(BeAssignableToTypeOf(problems))
	return err.(tomlfile.Problems)
}

var _ = Describe("text", func() {
	It("accepts the valid text and the examples", func() {
		Expect(parseProblems(validText)).To(BeEmpty())
		files, err := filepath.Glob("../../examples/*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			content, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			_, err = Parse(file, content)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})

	DescribeTable("reports a problem with its line and key",
		func(old, replacement string, line int, key, reason string) {
			Expect(validText).To(ContainSubstring(old))
			problems := parseProblems(strings.Replace(validText, old, replacement, 1))
			Expect(problems).To(HaveLen(1))
			Expect(problems[0].Line).To(Equal(line))
			Expect(problems[0].Key).To(Equal(key))
			Expect(problems[0].Reason).To(ContainSubstring(reason))
		},
		Entry("rate", `"5/s"`, `"fast"`, 2, "region.north.shift_cap", "not a rate"),
		Entry("region", `region = "north"`, "region = \"south\"\n[zone.n2]\nregion = \"north\"", 4, "zone.n1.region", "does not exist"),
		Entry("empty region", `[zone.n1]`, "[region.south]\n[zone.n1]", 3, "region.south", "has no availability zone"),
		Entry("client block", `10.1.0.0/16`, `10.1.0.1/16`, 5, "zone.n1.client_blocks", "not a client block"),
		Entry("name", `[workspace.azul]`, `[workspace."a/b"]`, 17, "workspace.a/b", "is not 1 to 64"),
		Entry("dependency", `depends_on = []`, `depends_on = ["none"]`, 7, "service.files.depends_on", "does not exist"),
		Entry("cycle", `depends_on = []`, `depends_on = ["files"]`, 7, "service.files.depends_on", "depends on itself"),
		Entry("slots", `slots = 4`, `slots = 0`, 8, "service.files.slots", "at least 1"),
		Entry("connections", `connections = 8`, `connections = 3`, 9, "service.files.connections", "at least slots"),
		Entry("timeout", `timeout = "1s"`, `timeout = "soon"`, 10, "service.files.timeout", "not a duration"),
		Entry("zone of endpoints", `n1 = ["127.0.0.1:1"]`, `n9 = ["127.0.0.1:1"]`, 12, "service.files.endpoints.n9", "does not exist"),
		Entry("endpoint twice", `["127.0.0.1:1"]`, `["127.0.0.1:1", "127.0.0.1:1"]`, 12, "service.files.endpoints.n1", "already belongs to zone"),
		Entry("path", `path = "/"`, `path = "x"`, 14, "service.files.route.read.path", "not a clean absolute path"),
		Entry("method", `["GET"]`, `["get"]`, 15, "service.files.route.read.methods", "capital letters"),
		Entry("kind", `"lookup"`, `"both"`, 16, "service.files.route.read.kind", "neither"),
		Entry("open action", `kind = "lookup"`, "kind = \"action\"\nopen = true", 17, "service.files.route.read.open", "traceable"),
		Entry("burst", `burst = 20`, `burst = 0`, 19, "workspace.azul.burst", "at least 1"),
		Entry("service of workspace", `services = ["files"]`, `services = ["letters"]`, 20, "workspace.azul.services", "does not exist"),
		Entry("isolation", `"10m"`, `"5s"`, 21, "workspace.azul.isolation", "at least 30s"),
		Entry("unknown key", `burst = 20`, "burst = 20\nbrust = 1", 20, "workspace.azul.brust", "unknown key"),
	)

	It("reports problems of every kind at once, in order", func() {
		text := strings.NewReplacer(`"5/s"`, `"fast"`, `slots = 4`, `slots = "many"`, `burst = 20`, `brust = 20`,
			`depends_on = []`, `depends_on = ["none"]`).Replace(validText)
		var keys []string
		for _, problem := range parseProblems(text) {
			keys = append(keys, problem.Key)
		}
		Expect(keys).To(Equal([]string{
			"region.north.shift_cap", "service.files.depends_on", "service.files.slots",
			"workspace.azul.burst", "workspace.azul.brust",
		}))
	})

	It("reports a syntax error", func() {
		Expect(parseProblems("[region")).To(HaveLen(1))
	})
})
