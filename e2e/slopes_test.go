package e2e

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/adminapi/command"
	"github.com/merlinpost/merlinpost/internal/operator"
	"github.com/merlinpost/merlinpost/internal/resource"
)

var measureSlopes = flag.Bool("slopes", false, "run the measurements for docs/CAPACITY.md, which take minutes")

// resourceUsage is the resource usage of a process since its start.
type resourceUsage struct {
	cpu      time.Duration
	rss      int64   // bytes, at the time of the reading
	bytesIn  float64 // received on links
	bytesOut float64 // sent on links
	at       time.Time
}

// clockTick is the unit of the CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// readUsage reads the usage of a process from /proc and from its metrics endpoint.
func (c *cluster) readUsage(g Gomega, name string) resourceUsage {
	p, err := c.process(name)
	g.Expect(err).NotTo(HaveOccurred())
	dir := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	g.Expect(err).NotTo(HaveOccurred())
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	u := resourceUsage{at: time.Now()}
	for _, f := range fields[11:13] { // utime and stime
		n, err := strconv.Atoi(f)
		g.Expect(err).NotTo(HaveOccurred())
		u.cpu += time.Duration(n) * clockTick
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	g.Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			g.Expect(err).NotTo(HaveOccurred())
			u.rss = kb << 10
		}
	}
	u.bytesIn = c.metric(g, name, `merlinpost_link_bytes{direction="in"}`)
	u.bytesOut = c.metric(g, name, `merlinpost_link_bytes{direction="out"}`)
	return u
}

// metric reads one metric of a router or agent; it is 0 if the metric is not exported.
func (c *cluster) metric(g Gomega, name, metric string) float64 {
	url := "http://" + c.address(name) + ":7301/metrics"
	if strings.HasPrefix(name, "router-") {
		url = "http://" + c.operatorAddress(name) + "/metrics"
	}
	_, _, data, err := c.request(context.Background(), "GET", url, nil, nil)
	g.Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, metric+" "); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			g.Expect(err).NotTo(HaveOccurred())
			return v
		}
	}
	return 0
}

// formatUsage formats the resource usage between two readings.
func formatUsage(label string, a, b resourceUsage) string {
	s := b.at.Sub(a.at).Seconds()
	return fmt.Sprintf("%s: cpu %.3f%% of a core, rss %.1f MB, links in %.0f B/s out %.0f B/s",
		label, 100*(b.cpu-a.cpu).Seconds()/s, float64(b.rss)/1e6, (b.bytesIn-a.bytesIn)/s, (b.bytesOut-a.bytesOut)/s)
}

const idleDuration = 20 * time.Second

// productionLinkSettings holds the default link settings, with the log level warn.
const productionLinkSettings = "\n[link]\nheartbeat_ms = 1000\nsilent_ms = 2500\nlost_ms = 5000\n[logging]\nlevel = \"warn\"\n"

// TestIdleSlopes measures the resource usage of idle links by the number of agents of a router and by
// the number of routers of an agent.
func TestIdleSlopes(t *testing.T) {
	if !*measureSlopes {
		t.Skip("measurement; run with -slopes")
	}
	for _, s := range []clusterConfig{{Routers: 1, Services: 4}, {Routers: 1, Services: 16}, {Routers: 16, Services: 4}, {Routers: 32, Services: 4}} {
		t.Run(fmt.Sprintf("routers=%d agents=%d", s.Routers, s.Services), func(t *testing.T) {
			g := NewWithT(t)
			s.LinkSettings = productionLinkSettings
			c := newCluster(t.TempDir(), s)
			defer c.close()
			g.Expect(c.start()).To(Succeed())
			r, a := c.readUsage(g, "router-0"), c.readUsage(g, "agent-service-0")
			<-time.After(idleDuration)
			t.Log(formatUsage("router", r, c.readUsage(g, "router-0")))
			t.Log(formatUsage("agent", a, c.readUsage(g, "agent-service-0")))
		})
	}
}

// TestRequestCPUSlopes measures the CPU time per request and per token.
func TestRequestCPUSlopes(t *testing.T) {
	if !*measureSlopes {
		t.Skip("measurement; run with -slopes")
	}
	for _, tokens := range []int{1, 100, 318} {
		t.Run(fmt.Sprint("tokens=", tokens), func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(t.TempDir(), clusterConfig{Routers: 1, Engines: 1, Slots: 64, TokenTime: "10ms", LinkSettings: productionLinkSettings})
			defer c.close()
			g.Expect(c.start()).To(Succeed())
			r, a := c.readUsage(g, "router-0"), c.readUsage(g, "agent-engine-0")
			n := 0
			for round := range max(3, 600/tokens) {
				group := &callerGroup{cluster: c}
				group.start(context.Background(), fmt.Sprint("round", round), "helpline", 64, tokens, []string{"router-0"})
				group.wg.Wait()
				g.Expect(group.completeCount()).To(Equal(64), group.failureSummary())
				n += 64
			}
			rEnd, aEnd := c.readUsage(g, "router-0"), c.readUsage(g, "agent-engine-0")
			perRequest := func(x, y resourceUsage) float64 { return float64((y.cpu - x.cpu).Microseconds()) / float64(n) }
			t.Logf("%d requests of %d tokens: router %.0f us, agent %.0f us each; rss router %.1f MB, agent %.1f MB", n, tokens, perRequest(r, rEnd), perRequest(a, aEnd),
				float64(rEnd.rss)/1e6, float64(aEnd.rss)/1e6)
			t.Logf("per token: router %.2f us, agent %.2f us", perRequest(r, rEnd)/float64(tokens), perRequest(a, aEnd)/float64(tokens))
		})
	}
}

// TestRequestMemorySlope measures the memory usage by the number of requests in progress.
func TestRequestMemorySlope(t *testing.T) {
	if !*measureSlopes {
		t.Skip("measurement; run with -slopes")
	}
	g := NewWithT(t)
	c := newCluster(t.TempDir(), clusterConfig{Routers: 1, Engines: 1, Slots: 8, TokenTime: "50ms", LinkSettings: productionLinkSettings})
	defer c.close()
	g.Expect(c.start()).To(Succeed())
	for _, n := range []int{0, 200, 800} {
		ctx, cancel := context.WithCancel(context.Background())
		group := &callerGroup{cluster: c}
		group.start(ctx, "in progress", "report", n, 300, []string{"router-0"})
		<-time.After(3 * time.Second)
		r, a := c.readUsage(g, "router-0"), c.readUsage(g, "agent-engine-0")
		t.Logf("%d requests in progress: rss router %.1f MB, agent %.1f MB", n, float64(r.rss)/1e6, float64(a.rss)/1e6)
		cancel()
		group.wg.Wait()
	}
}

// TestConfigSlope measures the memory usage of the configuration and the time until a change is in force
// in all processes, with few teams and with the target size of the configuration.
func TestConfigSlope(t *testing.T) {
	if !*measureSlopes {
		t.Skip("measurement; run with -slopes")
	}
	g := NewWithT(t)
	c := newCluster(t.TempDir(), clusterConfig{Routers: 3, Services: 16, LinkSettings: productionLinkSettings})
	defer c.close()
	g.Expect(c.start()).To(Succeed())
	logMemory := func(label string) {
		r, a := c.readUsage(g, "router-0"), c.readUsage(g, "agent-service-0")
		t.Logf("%s: rss router %.1f MB, agent %.1f MB", label, float64(r.rss)/1e6, float64(a.rss)/1e6)
	}
	c.measureConfigChanges(t, g, "few teams")
	logMemory("few teams")
	client := operator.New(c.operatorAddress("router-0"), operatorKey)
	for i := 0; i < 2500; i += 500 {
		var set command.ChangeSet
		for j := range 500 {
			name := fmt.Sprintf("team-%d", i+j)
			spec := fmt.Sprintf(`{"keys_sha256":[%q],"default_class":"alert","rate":10,"burst":20}`, resource.HashAPIKey(name))
			set.Changes = append(set.Changes, command.ChangeSetElement{Verb: resource.Put, Kind: resource.KindTeam, Name: name, Spec: []byte(spec)})
		}
		_, err := client.Change(context.Background(), set, "")
		g.Expect(err).NotTo(HaveOccurred())
	}
	c.measureConfigChanges(t, g, "2500 teams")
	logMemory("2500 teams")
}

// measureConfigChanges makes 100 changes and logs percentiles of the time from
// the acceptance of a change until it is in force in all processes.
func (c *cluster) measureConfigChanges(t *testing.T, g Gomega, label string) {
	var took []time.Duration
	names := c.routersAndAgents()
	begin := c.readUsage(g, "agent-service-0")
	for i := range 100 {
		status, revision, err := c.setClass(fmt.Sprint("router-", i%c.Routers), "extra", fmt.Sprintf(classSpec, 1000+i), "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(200))
		d, err := c.waitRevision(names, revision)
		g.Expect(err).NotTo(HaveOccurred())
		took = append(took, d)
	}
	end := c.readUsage(g, "agent-service-0")
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	t.Logf("%s: %d changes in %d processes: in force after p50 %s p99 %s max %s; agent cpu %.2f ms per change", label, len(took), len(names),
		took[50].Round(time.Millisecond), took[98].Round(time.Millisecond), took[99].Round(time.Millisecond),
		float64((end.cpu-begin.cpu).Microseconds())/1000/float64(len(took)))
}
