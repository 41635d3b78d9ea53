package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/entry"
	"lovagescale/internal/lookup"
	"lovagescale/internal/settings"
	"lovagescale/internal/standin"
	"lovagescale/internal/tomlfile"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const entryText = `instance = "a"
availability_zone = "north-1"
address = "127.0.0.1:1"
link = "127.0.0.1:2"
operator = "127.0.0.1:3"
platform = "127.0.0.1:4"
`

const lookupText = `availability_zone = "north-1"
address = "127.0.0.1:1"
operator = "127.0.0.1:3"
`

// problem is an expected problem; Reason is a part of its text.
type problem struct {
	Line   int
	Key    string
	Reason string
}

var _ = Describe("Load", func() {
	load := func(text string, target settings.Checker) error {
		file := filepath.Join(GinkgoT().TempDir(), "settings.toml")
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		return settings.Load(file, target)
	}

	It("accepts complete settings", func() {
		var s entry.Settings
		Expect(load(entryText, &s)).To(Succeed())
		Expect(s.StopGrace.Std()).NotTo(BeZero())
	})

	DescribeTable("reports file, line and key of each problem",
		func(text string, target settings.Checker, expected ...problem) {
			err := load(text, target)
			Expect(err).To(BeAssignableToTypeOf(tomlfile.Problems{}))
			found := []problem{}
			for _, p := range err.(tomlfile.Problems) {
				Expect(p.File).To(HaveSuffix("settings.toml"))
				found = append(found, problem{p.Line, p.Key, p.Reason})
			}
			Expect(found).To(HaveLen(len(expected)))
			for i, want := range expected {
				Expect(found[i].Line).To(Equal(want.Line))
				Expect(found[i].Key).To(Equal(want.Key))
				Expect(found[i].Reason).To(ContainSubstring(want.Reason))
			}
		},
		Entry("unknown keys", entryText+"colour = 1\nsize = 2\n", &entry.Settings{},
			problem{7, "colour", "unknown key"}, problem{8, "size", "unknown key"}),
		Entry("a bad unit", entryText+"stop_grace = \"5 parsecs\"\n", &entry.Settings{},
			problem{7, "stop_grace", `"5 parsecs" is not a duration`}),
		Entry("a bad address", entryText[:len(entryText)-len("platform = \"127.0.0.1:4\"\n")]+"platform = \"somewhere\"\n", &entry.Settings{},
			problem{6, "platform", `"somewhere" is not an IP address`}),
		Entry("no addresses", lookupText[:len("availability_zone = \"north-1\"\n")], &lookup.Settings{},
			problem{0, "address", "not an IP address"}, problem{0, "operator", "not an IP address"}, problem{0, "entries", "at least one"}),
		Entry("a dot in the instance", "instance = \"a.b\"\n"+entryText[len("instance = \"a\"\n"):], &entry.Settings{},
			problem{1, "instance", "must not contain a dot"}),
		Entry("an unknown log level", lookupText+"entries = [\"127.0.0.1:2\"]\nlog_level = \"loud\"\n", &lookup.Settings{},
			problem{5, "log_level", `"loud" is not a log level`}),
		Entry("slots of 0", "platform = \"127.0.0.1:1\"\ncontrol = \"127.0.0.1:2\"\n[[upstream]]\nservice = \"s\"\nslots = 0\n", &standin.Settings{},
			problem{5, "upstream.slots", "at least 1"}),
		Entry("broken TOML", "instance = \n", &entry.Settings{}, problem{1, "", ""}),
	)

	It("reports a missing file", func() {
		Expect(settings.Load("/nonexistent/settings.toml", &entry.Settings{})).To(BeAssignableToTypeOf(&settings.FileError{}))
	})
})
