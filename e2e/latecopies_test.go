package e2e

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
	"github.com/merlinpost/merlinpost/internal/standin/scripted"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

var (
	lateCopyRequests = flag.Int("late-copy-requests", 300, "requests for each kind of late copy")
	lateCopyRate     = flag.Int("late-copy-rate", 250, "requests per second of the tests of late copies")
)

// lateCopies are the copies of a rejection that a server sends besides it, by description. The first entry is the
// case without copies.
var lateCopies = []struct {
	name   string
	copies []scripted.Copy
}{
	{"nothing", nil},
	{"a copy", []scripted.Copy{{}}},
	{"as 429", []scripted.Copy{{Status: http.StatusTooManyRequests}}},
	{"as 421", []scripted.Copy{{Status: http.StatusMisdirectedRequest}}},
	{"as 408", []scripted.Copy{{Status: http.StatusRequestTimeout}}},
	{"as 400", []scripted.Copy{{Status: http.StatusBadRequest}}},
	{"two copies", []scripted.Copy{{}, {}}},
	{"after an informational response", []scripted.Copy{{AfterInformational: true}}},
	{"announcing a close", []scripted.Copy{{AnnounceClose: true}}},
	{"in halves", []scripted.Copy{{When: scripted.Split}}},
	{"with the answer", []scripted.Copy{{When: scripted.WithAnswer}}},
	{"with a body", []scripted.Copy{{WithBody: true}}},
	{"in chunks", []scripted.Copy{{Chunked: true}}},
	{"without ID", []scripted.Copy{{ID: scripted.NoID}}},
	{"two without ID", []scripted.Copy{{ID: scripted.NoID}, {ID: scripted.NoID}}},
	{"without ID, announcing a close", []scripted.Copy{{ID: scripted.NoID, AnnounceClose: true}}},
	{"with another ID", []scripted.Copy{{ID: scripted.OtherID}}},
}

// scriptedFleet is a fleet of gateways in front of scripted servers.
type scriptedFleet struct {
	*fleet
	servers []*scripted.Server
}

// newScriptedFleet starts four gateways and the given number of servers that follow a script, in which requests that
// isRejectedOnce selects are served in the end. The retry budget permits all retries.
func newScriptedFleet(t *testing.T, servers int, script scripted.Script) *scriptedFleet {
	t.Helper()
	f := startFleetWith(t, fleetConfig{gateways: 4, retrySlack: 100000})
	out := &scriptedFleet{fleet: f}
	for i := range servers {
		s, err := scripted.Start(fmt.Sprintf("i-scripted-%d", i), script)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		out.servers = append(out.servers, s)
		out.registerScripted(s, i)
	}
	for _, g := range f.gateways {
		deadline := time.Now().Add(waitTimeout)
		// A rejected request is served once the gateway has its share of the retry budget.
		for n := 0; f.send(t.Context(), g, "post", fmt.Sprintf("post-start-%s-%d0", g.host, n)).status != http.StatusOK; n++ {
			if time.Now().After(deadline) {
				t.Fatalf("%s serves no request that a server has rejected", g.host)
			}
			time.Sleep(pollInterval)
		}
	}
	return out
}

// registerScripted enters a server into the list of servers.
func (f *scriptedFleet) registerScripted(s *scripted.Server, sequence int) {
	f.store.PutJSON(platformstore.TopicServers, s.ID(), map[string]any{"service": appService, "address": s.Address(), "zone": "z",
		"slots": workerSlots, "version": "v1", "cold_remaining_ms": 0, "state": "ready", "sequence": sequence, "born": time.Now().UnixMilli()})
}

// rejectOnce is a script in which each server rejects the requests that isRejectedOnce selects when they arrive for the
// first time.
func rejectOnce(a scripted.Arrival) scripted.Step {
	if isRejectedOnce(a.ID) && a.Earlier == 0 {
		return scripted.Step{Status: http.StatusServiceUnavailable, NotExecuted: true}
	}
	return scripted.Step{Runs: true, Status: http.StatusOK, Delay: 2 * time.Millisecond}
}

// runs returns the number of runs of each request at all servers.
func (f *scriptedFleet) runs() map[string]int {
	out := map[string]int{}
	for _, s := range f.servers {
		for id, n := range s.Runs() {
			out[id] += n
		}
	}
	return out
}

// logOf returns the log lines of the gateways about a request.
func (f *scriptedFleet) logOf(id string) string {
	var out []string
	for _, g := range f.gateways {
		for _, line := range strings.Split(g.log.String(), "\n") {
			if strings.Contains(line, `"id":"`+id+`"`) {
				out = append(out, g.host+" "+line)
			}
		}
	}
	return strings.Join(out, "\n")
}

// post sends non-idempotent requests at a constant rate to the gateways in turn and returns the responses by ID.
func (f *scriptedFleet) post(ctx context.Context, prefix string, requests, rate int) map[string]fleetResponse {
	var (
		mu    sync.Mutex
		tasks sync.WaitGroup
		out   = map[string]fleetResponse{}
	)
	for i := range requests {
		tasks.Go(func() {
			id := fmt.Sprintf("post-%s-%d", prefix, i)
			resp := f.send(ctx, f.gateways[i%len(f.gateways)], "post", id)
			mu.Lock()
			out[id] = resp
			mu.Unlock()
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	tasks.Wait()
	return out
}

// Guards against taking a late copy of a rejection as proof that the next send of a request did not run.
func TestLateCopiesOfARejectionDoNotRunARequestTwice(t *testing.T) {
	for _, servers := range []int{1, 3} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			var copies atomic.Pointer[[]scripted.Copy]
			copies.Store(new([]scripted.Copy))
			f := newScriptedFleet(t, servers, func(a scripted.Arrival) scripted.Step {
				step := rejectOnce(a)
				if step.NotExecuted {
					step.Copies = *copies.Load()
				}
				return step
			})
			for i, kind := range lateCopies {
				copies.Store(&kind.copies)
				before := f.connectionCount()
				responses := f.post(t.Context(), fmt.Sprint(i), *lateCopyRequests, *lateCopyRate)
				connections := f.connectionCount() - before
				served, twice, untrue, statuses := 0, 0, 0, map[int]int{}
				runs := f.runs()
				for id, resp := range responses {
					statuses[resp.status]++
					if runs[id] > 1 {
						twice++
					}
					switch {
					case resp.status == http.StatusOK && resp.body == worker.ResponseBody(id):
						served++
						continue
					case resp.status == http.StatusOK:
						t.Errorf("%s: %s got the body %q", kind.name, id, resp.body)
					case scripted.PromisesNotRun(resp.status) && runs[id] > 0:
						untrue++
					}
					t.Logf("%s: status %d, %d runs\n%s", id, resp.status, runs[id], f.logOf(id))
				}
				t.Logf("%s: %d of %d served, %d ran twice, %d told not run though run, %d connections, statuses %v",
					kind.name, served, len(responses), twice, untrue, connections, statuses)
				if twice > 0 || untrue > 0 || served < len(responses) {
					t.Errorf("%s: %d ran twice, %d told not run though run, %d not served", kind.name, twice, untrue, len(responses)-served)
				}
			}
		})
	}
}

// isRejectedOnce reports whether each server rejects a request when it arrives for the first time: one in five.
func isRejectedOnce(id string) bool {
	return strings.HasPrefix(id, "post-") && (strings.HasSuffix(id, "0") || strings.HasSuffix(id, "5"))
}

// connectionCount returns the number of connections that the servers have accepted.
func (f *scriptedFleet) connectionCount() int {
	n := 0
	for _, s := range f.servers {
		n += s.ConnectionCount()
	}
	return n
}
