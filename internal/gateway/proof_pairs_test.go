package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/standin/scripted"
)

const (
	// drawnTriples is the number of series of three signs that are drawn, for each number of servers.
	drawnTriples = 500
	// signCallers send requests at the same time, and silentCallers those in which a server is silent, which mostly wait.
	signCallers, silentCallers = 64, 96
)

// sign is what a server does with one arrival of a request, from which a gateway concludes whether the request ran.
type sign struct {
	name string
	step scripted.Step
}

// silence is the name of the sign of a server that sends nothing until its caller disconnects.
const silence = "silence"

// signs returns the signs that are combined.
func signs() []sign {
	rejection := func(status int, copies ...scripted.Copy) scripted.Step {
		return scripted.Step{Status: status, NotExecuted: true, Copies: copies}
	}
	answer := func(copies ...scripted.Copy) scripted.Step {
		return scripted.Step{Runs: true, Status: http.StatusOK, Copies: copies}
	}
	out := []sign{
		{"answer", answer()},
		{"answer, then a copy", answer(scripted.Copy{})},
		{"answer, then a rejection", answer(scripted.Copy{Status: http.StatusServiceUnavailable, NotExecuted: true})},
		{"answer, then a copy without ID", answer(scripted.Copy{ID: scripted.NoID})},
		{"421 without statement", scripted.Step{Status: http.StatusMisdirectedRequest}},
		{"rejection without ID", scripted.Step{Status: http.StatusServiceUnavailable, NotExecuted: true, OmitID: true}},
		{"answer without ID", scripted.Step{Runs: true, Status: http.StatusOK, OmitID: true}},
		{"answer without seal", scripted.Step{Runs: true, Status: http.StatusOK, Unsealed: true}},
		{"answer that goes on", scripted.Step{Runs: true, Status: http.StatusInternalServerError, Ending: scripted.WorkOn}},
		{"garbled answer", scripted.Step{Runs: true, Status: http.StatusOK, Ending: scripted.Garble}},
		{"close after the answer", scripted.Step{Runs: true, Status: http.StatusOK, Ending: scripted.Close}},
		{silence, scripted.Step{Runs: true, Ending: scripted.Silence}},
	}
	for _, status := range scripted.RejectionStatuses {
		out = append(out, sign{fmt.Sprint("rejection ", status), rejection(status)})
	}
	for _, c := range []scripted.Copy{{}, {ID: scripted.NoID}, {ID: scripted.OtherID}, {Chunked: true}, {AfterInformational: true}, {AnnounceClose: true},
		{When: scripted.Split}, {When: scripted.FirstHalfBeforeNext}, {When: scripted.WithAnswer}} {
		out = append(out, sign{fmt.Sprintf("rejection, then %+v", c), rejection(http.StatusServiceUnavailable, c)})
	}
	out = append(out, sign{"rejection, then two copies", rejection(http.StatusTooManyRequests, scripted.Copy{}, scripted.Copy{ID: scripted.NoID})})
	for _, status := range scripted.FailureStatuses {
		out = append(out, sign{fmt.Sprint("failure ", status), scripted.Step{Runs: true, Status: status}})
	}
	for _, runs := range []bool{false, true} {
		out = append(out, sign{fmt.Sprint("reset, runs: ", runs), scripted.Step{Runs: runs, Ending: scripted.Reset}},
			sign{fmt.Sprint("close, runs: ", runs), scripted.Step{Runs: runs, Ending: scripted.Close}})
	}
	return out
}

// signSeries is a number of requests, each with the signs of its arrivals. Further arrivals are answered.
type signSeries struct {
	mu      sync.Mutex
	pending map[string][]sign // by the ID of the request
}

// next implements scripted.Script.
func (s *signSeries) next(a scripted.Arrival) scripted.Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := scripted.Step{Runs: true, Status: http.StatusOK}
	if left := s.pending[a.ID]; len(left) > 0 {
		step, s.pending[a.ID] = left[0].step, left[1:]
	}
	if step.Status == http.StatusOK {
		step.Events = eventsOf(a.ID)
	}
	return step
}

// Guards against a conclusion from one sign of a server that another one contradicts: running a request twice that may
// run once, reporting a request that ran as not run, and losing a complete response.
func TestAllPairsOfSignsAndDrawnTriplesKeepTheGuarantees(t *testing.T) {
	RegisterTestingT(t)
	var cases sync.WaitGroup
	for servers := 1; servers <= 3; servers++ {
		cases.Go(func() { playSigns(t, servers) })
	}
	cases.Wait()
}

// playSigns plays all pairs, and triples drawn from the seed, for all kinds of routes.
func playSigns(t *testing.T, servers int) {
	series := &signSeries{pending: map[string][]sign{}}
	type planned struct {
		route routing.Route
		id    string
	}
	var requests []planned
	add := func(route routing.Route, list ...sign) {
		id := fmt.Sprintf("%s-%d", route.Name, len(requests))
		series.pending[id] = list
		requests = append(requests, planned{route, id})
	}
	all, r := signs(), rand.New(rand.NewPCG(*drawnSeed, uint64(servers)))
	for _, route := range drawnRoutes {
		for _, first := range all {
			for _, second := range all {
				add(route, first, second)
			}
		}
	}
	for range drawnTriples {
		add(drawnRoutes[r.IntN(len(drawnRoutes))], all[r.IntN(len(all))], all[r.IntN(len(all))], all[r.IntN(len(all))])
	}
	r.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })

	c := &drawnCase{signs: map[string]string{}}
	for id, list := range series.pending {
		for _, s := range list {
			c.signs[id] += "[" + s.name + "]"
		}
	}
	for i := range servers {
		s, err := scripted.Start(fmt.Sprint("i-", i), c.overlaps.Watch(c.allServers, series.next))
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		c.servers = append(c.servers, s)
	}
	c.startGateways(1)
	defer c.fronts[0].Close()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: signCallers + silentCallers}}
	defer client.CloseIdleConnections()
	var active, silent []planned
	for _, q := range requests {
		if strings.Contains(c.signs[q.id], silence) {
			silent = append(silent, q)
		} else {
			active = append(active, q)
		}
	}
	var callers sync.WaitGroup
	for list, n := range map[*[]planned]int{&active: signCallers, &silent: silentCallers} {
		for part := range slices.Chunk(*list, len(*list)/n+1) {
			callers.Go(func() {
				for _, q := range part {
					c.request(client, c.fronts[0], q.route, q.id)
				}
			})
		}
	}
	callers.Wait()
	c.check(t, *drawnSeed)
	sends := 0
	for _, s := range c.servers {
		sends += s.ArrivalCount()
	}
	t.Logf("%d servers: %d requests, %d sends", servers, len(requests), sends)
}
