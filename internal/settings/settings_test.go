package settings

import (
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/fault"
)

const validRouter = `
name = "router-1"
failure_domain = "a"
[log]
address = "127.0.0.1:7000"
`

func TestDecodeErrorNamesTheInvalidKey(t *testing.T) {
	for name, c := range map[string]struct{ text, field, message string }{
		"unknown key":            {validRouter + "adress = \"x\"\n", "log.adress", "file.toml:6"},
		"wrong type":             {validRouter + "poll_ms = \"soon\"\n", "log.poll_ms", "file.toml:6"},
		"out of range":           {validRouter + "poll_ms = 1\n", "log.poll_ms", "min=100"},
		"host name":              {"name=\"r\"\nfailure_domain=\"a\"\n[log]\naddress=\"localhost:7000\"\n", "log.address", "ipport"},
		"missing":                {"failure_domain=\"a\"\n[log]\naddress=\"127.0.0.1:1\"\n", "name", "required"},
		"wrong choice":           {validRouter + "[policy]\nchoice=\"best\"\n", "policy.choice", "oneof"},
		"not toml":               {"name = = 3", "", "file.toml:1"},
		"silent below heartbeat": {validRouter + "[link]\nsilent_ms=500\n", "link.silent_ms", "gtfield"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := DefaultRouter()
			err := Decode("file.toml", []byte(c.text), &s)
			g.Expect(fault.Is(err, fault.BadSettings)).To(BeTrue(), "%v", err)
			g.Expect(fault.From(err).Field).To(Equal(c.field))
			g.Expect(err.Error()).To(ContainSubstring(c.message))
		})
	}
}

func TestDecodeKeepsDefaults(t *testing.T) {
	g := NewWithT(t)
	s := DefaultRouter()
	g.Expect(Decode("file.toml", []byte(validRouter), &s)).To(Succeed())
	g.Expect(s.Policy.Subset).To(Equal(16))
	g.Expect(s.Log.Address).To(Equal("127.0.0.1:7000"))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validRouter))
	f.Add([]byte("[log]\npoll_ms = -1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := DefaultRouter()
		if err := Decode("fuzz.toml", data, &s); err != nil && !fault.Is(err, fault.BadSettings) {
			t.Fatalf("untyped error: %v", err)
		}
	})
}

// The example files must list every key with its default value, so decoding one into
// a zero value gives the defaults, except for required settings without a default.
func TestExampleFilesListTheDefaults(t *testing.T) {
	g := NewWithT(t)
	var router Router
	g.Expect(ReadFile("../../examples/router.example.toml", &router)).To(Succeed())
	wantRouter := DefaultRouter()
	wantRouter.Name, wantRouter.FailureDomain, wantRouter.Log.Address = "router-1", "a", "127.0.0.1:7000"
	g.Expect(router).To(Equal(wantRouter))

	var agent Agent
	g.Expect(ReadFile("../../examples/agent.example.toml", &agent)).To(Succeed())
	wantAgent := DefaultAgent()
	wantAgent.Name, wantAgent.FailureDomain, wantAgent.Log.Address = "server-1", "a", "127.0.0.1:7000"
	wantAgent.Listen, wantAgent.Metrics, wantAgent.Server.Address = "127.0.0.1:7300", "127.0.0.1:7301", "127.0.0.1:7100"
	g.Expect(agent).To(Equal(wantAgent))
}

func TestExampleDeploymentsAreValid(t *testing.T) {
	g := NewWithT(t)
	for _, pattern := range []string{"router-*.toml", "agent-*.toml"} {
		files, err := filepath.Glob("../../examples/*/" + pattern)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(files)).To(BeNumerically(">=", 5))
		for _, f := range files {
			if strings.HasPrefix(filepath.Base(f), "router") {
				set := DefaultRouter()
				g.Expect(ReadFile(f, &set)).To(Succeed())
			} else {
				set := DefaultAgent()
				g.Expect(ReadFile(f, &set)).To(Succeed())
			}
		}
	}
}
