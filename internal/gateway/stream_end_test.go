package gateway_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/standin/scripted"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

const cutStreamEvents = 4

var framings = []worker.Framing{worker.FramedByLength, worker.FramedByChunks, worker.FramedByClose}

// wholeEvents returns the number of complete events in the first n bytes of the stream for id.
func wholeEvents(id string, n int) int {
	return strings.Count(worker.StreamBody(id, cutStreamEvents)[:n], "\n\n")
}

// forEachCutInsideAnEvent runs a test for each framing and each number of bytes after which a stream ends inside an event.
func forEachCutInsideAnEvent(t *testing.T, stream string, run func(t *testing.T, framing worker.Framing, cut int)) {
	for _, framing := range framings {
		for cut := 1; cut < len(stream); cut++ {
			if !strings.HasSuffix(stream[:cut], "\n\n") {
				t.Run(fmt.Sprint(framing, "/", cut), func(t *testing.T) { run(t, framing, cut) })
			}
		}
	}
}

// Guards against relaying a blank line that a server sends before its stream breaks off, and against not resuming the
// stream because of it.
func TestABlankLineBeforeABreakIsNotRelayed(t *testing.T) {
	for _, blank := range []string{"\n", "\r\n", "\n\n"} {
		for cut := 1; cut < cutStreamEvents; cut++ {
			var arrivals atomic.Int64
			h, _ := scriptedHarness(t, 2, func(scripted.Arrival) scripted.Step {
				step := scripted.Step{Runs: true, Status: 200, Events: cutStreamEvents}
				if arrivals.Add(1) == 1 {
					step.CutAfter, step.AfterEvents = cut, blank
				}
				return step
			})
			resp := h.post("/resume/", "a")
			Expect(resp.err).NotTo(HaveOccurred())
			Expect(resp.body).To(Equal(worker.StreamBody("a", cutStreamEvents)))
			Expect(arrivals.Load()).To(BeEquivalentTo(2))
		}
	}
}

// Guards against losing blank lines at the end of a complete stream.
func TestBlankLinesAtTheEndOfAStreamAreDelivered(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		h, _ := scriptedHarness(t, 1, func(scripted.Arrival) scripted.Step {
			return scripted.Step{Runs: true, Status: 200, Events: cutStreamEvents, AfterEvents: "\n\n"}
		})
		resp := h.post(path, "a")
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.body).To(Equal(worker.StreamBody("a", cutStreamEvents) + "\n\n"))
	}
}

// Guards against ending the caller's stream regularly when the server's stream ends inside an event.
func TestStreamsCutInsideAnEventAreNotCompleted(t *testing.T) {
	const id = "a"
	forEachCutInsideAnEvent(t, worker.StreamBody(id, cutStreamEvents), func(t *testing.T, framing worker.Framing, cut int) {
		h := harnessForTest(t, 2)
		h.setNextBehaviour(worker.Behaviour{Events: cutStreamEvents, Framing: framing, Cut: &worker.Cut{Bytes: cut}})
		resp := h.post("/stream/", id)
		events := wholeEvents(id, cut)
		if events == 0 {
			Expect(resp.err).NotTo(HaveOccurred())
			Expect(resp.status).To(Equal(502))
		} else {
			Expect(resp.err).To(HaveOccurred())
			Expect(resp.body).To(Equal(worker.StreamBody(id, events)))
		}
		Expect(h.runs()).To(HaveLen(1))
	})
}

// Guards against not resuming a stream that ends inside an event.
func TestStreamsCutInsideAnEventAreResumed(t *testing.T) {
	forEachCutInsideAnEvent(t, worker.StreamBody("a0", cutStreamEvents), func(t *testing.T, framing worker.Framing, cut int) {
		h := harnessForTest(t, 2)
		for _, w := range h.workers {
			w.SetBehaviour(worker.Behaviour{Events: cutStreamEvents, Framing: framing, AbortAfterEvents: -1})
		}
		h.workers[0].QueueBehaviours(worker.Behaviour{Events: cutStreamEvents, Framing: framing, Cut: &worker.Cut{Bytes: cut}})
		id := ""
		for i := 0; h.workers[0].RequestCount() == 0; i++ {
			id = fmt.Sprint("a", i%10)
			resp := h.post("/resume/", id)
			Expect(resp.err).NotTo(HaveOccurred())
			Expect(resp.status).To(Equal(200))
			Expect(resp.body).To(Equal(worker.StreamBody(id, cutStreamEvents)))
		}
		runs := h.workers[1].Executions()
		Expect(runs[len(runs)-1].ID).To(Equal(id))
		Expect(runs[len(runs)-1].LastEventID).To(Equal(wholeEvents(id, cut)))
	})
}

// Guards against breaking off or repeating complete responses, also those on streaming routes that are not streams.
func TestCompleteResponsesAreDeliveredOnceInAnyFraming(t *testing.T) {
	for _, framing := range framings {
		for _, c := range []struct {
			route  string
			events int
		}{{"/stream/", cutStreamEvents}, {"/resume/", cutStreamEvents}, {"/stream/", 0}, {"/resume/", 0}, {"/once/", 0}, {"/again/", 0}} {
			t.Run(fmt.Sprint(framing, c.route, c.events), func(t *testing.T) {
				h := harnessForTest(t, 2)
				for _, w := range h.workers {
					w.SetBehaviour(worker.Behaviour{Events: c.events, Framing: framing, AbortAfterEvents: -1})
				}
				for i := range 20 {
					id := fmt.Sprint("a", i)
					want := worker.ResponseBody(id)
					if c.events > 0 {
						want = worker.StreamBody(id, c.events)
					}
					resp := h.post(c.route, id)
					Expect(resp.err).NotTo(HaveOccurred())
					Expect(resp.status).To(Equal(200))
					Expect(resp.body).To(Equal(want))
				}
				Expect(h.runs()).To(HaveLen(20))
			})
		}
	}
}

// Guards against completing a stream whose resumed run breaks off too, and against relaying parts of its events.
func TestStreamsThatAreCutAgainAfterBeingResumedAreNotCompleted(t *testing.T) {
	const id = "a"
	event := len(worker.Event(id, 1))
	for _, framing := range framings {
		for first := 1; first < event; first += 3 {
			for second := 1; second < event; second += 3 {
				t.Run(fmt.Sprint(framing, "/", first, "/", second), func(t *testing.T) {
					h := harnessForTest(t, 2)
					firstRun := worker.Behaviour{Events: cutStreamEvents, Framing: framing, Cut: &worker.Cut{Bytes: event + first}}
					resumedRun := worker.Behaviour{Events: cutStreamEvents, Framing: framing, Cut: &worker.Cut{Bytes: event + second}}
					for _, w := range h.workers {
						w.SetBehaviour(firstRun)
						w.SetResumedBehaviour(resumedRun)
					}
					resp := h.post("/resume/", id)
					Expect(resp.err).To(HaveOccurred())
					Expect(resp.body).To(Equal(worker.StreamBody(id, 2)))
					Expect(h.runs()).To(HaveLen(2))
				})
			}
		}
	}
}

// Guards against delivering a stream of events that ends inside an event on a route whose responses are not streamed.
func TestBufferedStreamsThatEndInsideAnEventAreNotDelivered(t *testing.T) {
	for _, framing := range framings {
		cut := worker.Behaviour{Events: cutStreamEvents, Framing: framing, Cut: &worker.Cut{Bytes: len(worker.Event("a", 1)) + 3}}
		h := harnessForTest(t, 2)
		h.setNextBehaviour(cut)
		Expect(h.post("/once/", "a").status).To(Equal(502))
		Expect(h.runs()).To(HaveLen(1))

		h = harnessForTest(t, 2)
		h.workers[0].QueueBehaviours(cut)
		for i := 0; h.workers[0].RequestCount() == 0; i++ {
			Expect(h.post("/again/", fmt.Sprint("a", i)).status).To(Equal(200))
		}
	}
}

// Guards against delivering a stream without any event as complete.
func TestStreamsWithoutEventsAreNotCompleted(t *testing.T) {
	for _, framing := range framings {
		t.Run(string(framing), func(t *testing.T) {
			empty := worker.Behaviour{Events: cutStreamEvents, Framing: framing, Cut: &worker.Cut{Bytes: 0}}
			h := harnessForTest(t, 2)
			h.setNextBehaviour(empty)
			Expect(h.post("/stream/", "a").status).To(Equal(502))
			Expect(h.runs()).To(HaveLen(1))

			h = harnessForTest(t, 2)
			for _, w := range h.workers {
				w.SetBehaviour(worker.Behaviour{Events: cutStreamEvents, Framing: framing, AbortAfterEvents: -1})
			}
			h.workers[0].QueueBehaviours(empty)
			for i := 0; h.workers[0].RequestCount() == 0; i++ {
				id := fmt.Sprint("a", i)
				resp := h.post("/resume/", id)
				Expect(resp.err).NotTo(HaveOccurred())
				Expect(resp.body).To(Equal(worker.StreamBody(id, cutStreamEvents)))
			}
		})
	}
}

// Guards against repeating or breaking off a stream that a caller resumes after its last event.
func TestStreamsThatAreResumedAfterTheirLastEventAreComplete(t *testing.T) {
	for _, framing := range framings {
		h := harnessForTest(t, 2)
		for _, w := range h.workers {
			w.SetBehaviour(worker.Behaviour{Events: cutStreamEvents, Framing: framing, AbortAfterEvents: -1})
		}
		req := h.request(context.Background(), "/resume/", "a", "")
		req.Header.Set("Last-Event-Id", strconv.Itoa(cutStreamEvents))
		resp := h.send(req)
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.status).To(Equal(200))
		Expect(resp.body).To(BeEmpty())
		Expect(h.runs()).To(HaveLen(1))
	}
}

// Guards against completing a stream whose resumed run lacks the event that the first run had begun.
func TestResumedStreamsMustContinueTheEventThatWasCut(t *testing.T) {
	const id = "a"
	inSecondEvent := len(worker.Event(id, 1)) + 3
	for _, framing := range framings {
		h := harnessForTest(t, 2)
		for _, w := range h.workers {
			w.SetBehaviour(worker.Behaviour{Events: cutStreamEvents, Framing: framing, Cut: &worker.Cut{Bytes: inSecondEvent}})
			w.SetResumedBehaviour(worker.Behaviour{Events: cutStreamEvents, Framing: framing, Cut: &worker.Cut{Bytes: 0}})
		}
		resp := h.post("/resume/", id)
		Expect(resp.err).To(HaveOccurred())
		Expect(resp.body).To(Equal(worker.StreamBody(id, 1)))
		Expect(h.runs()).To(HaveLen(2))
	}
}

// Guards against completing a stream that only the end of its connection delimits when the server exits between events,
// also if its address accepts connections for a while after that.
func TestStreamsWhoseServerExitsBetweenEventsAreNotCompleted(t *testing.T) {
	for _, delay := range []time.Duration{0, 25 * time.Millisecond} {
		for _, route := range []string{"/stream/", "/resume/"} {
			t.Run(fmt.Sprint(route, delay), func(t *testing.T) { testExitBetweenEvents(t, route, delay) })
		}
	}
}

// testExitBetweenEvents lets a server close the connections of its streams, and its listener after a delay.
func testExitBetweenEvents(t *testing.T, route string, delay time.Duration) {
	const id, whole = "a", 3
	h := harnessForTest(t, 2)
	for _, w := range h.workers {
		w.SetBehaviour(worker.Behaviour{Events: 100, Framing: worker.FramedByClose, AbortAfterEvents: -1, EventInterval: 20 * time.Millisecond})
		w.SetResumedBehaviour(worker.Behaviour{Events: whole + 2, Framing: worker.FramedByClose, AbortAfterEvents: -1})
	}
	resp, err := h.client.Do(h.request(context.Background(), route, id, ""))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	received := make([]byte, len(worker.StreamBody(id, whole)))
	_, err = io.ReadFull(resp.Body, received)
	Expect(err).NotTo(HaveOccurred())
	for _, w := range h.workers {
		if len(w.Executions()) > 0 {
			w.CloseConnections()
			time.Sleep(delay)
			w.Close()
		}
	}
	rest, err := io.ReadAll(resp.Body)
	received = append(received, rest...)
	if route == "/stream/" {
		Expect(err).To(HaveOccurred())
		Expect(h.runs()).To(HaveLen(1))
		return
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(string(received)).To(Equal(worker.StreamBody(id, whole+2)))
	Expect(h.runs()).To(HaveLen(2))
}

// Guards against completing a stream that may be resumed, and that only the end of its connection delimits, when a server
// exits that was expected to.
func TestStreamsOfALeavingServerThatExitsAreResumed(t *testing.T) {
	const id, whole = "a", 3
	for _, listed := range []bool{true, false} {
		h := harnessForTest(t, 2)
		for _, w := range h.workers {
			w.SetBehaviour(worker.Behaviour{Events: 100, Framing: worker.FramedByClose, AbortAfterEvents: -1, EventInterval: 20 * time.Millisecond})
			w.SetResumedBehaviour(worker.Behaviour{Events: whole + 2, AbortAfterEvents: -1})
		}
		resp, err := h.client.Do(h.request(context.Background(), "/resume/", id, ""))
		Expect(err).NotTo(HaveOccurred())
		received := make([]byte, len(worker.StreamBody(id, whole)))
		_, err = io.ReadFull(resp.Body, received)
		Expect(err).NotTo(HaveOccurred())
		var list []registry.Server
		for _, w := range h.workers {
			leaves := len(w.Executions()) > 0
			if !leaves || listed {
				list = append(list, registry.Server{ID: w.ID, Service: "s", Address: w.Address(), Slots: 8, Draining: leaves})
			}
		}
		h.servers.Replace(list, time.Now(), time.Time{})
		for _, w := range h.workers {
			if len(w.Executions()) > 0 {
				w.Close()
			}
		}
		rest, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(received) + string(rest)).To(Equal(worker.StreamBody(id, whole+2)))
		Expect(h.runs()).To(HaveLen(2))
		_ = resp.Body.Close()
	}
}

// Guards against breaking off the last streams of a server that exits after a planned shutdown.
func TestLastStreamsOfADrainingServerAreComplete(t *testing.T) {
	const id = "a"
	for _, listed := range []bool{true, false} {
		h := harnessForTest(t, 1)
		w := h.workers[0]
		w.SetBehaviour(worker.Behaviour{Events: 5, Framing: worker.FramedByClose, AbortAfterEvents: -1, EventInterval: 20 * time.Millisecond})
		resp, err := h.client.Do(h.request(context.Background(), "/stream/", id, ""))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(resp.Body, make([]byte, len(worker.Event(id, 1))))
		Expect(err).NotTo(HaveOccurred())
		var list []registry.Server
		if listed {
			list = []registry.Server{{ID: w.ID, Service: "s", Address: w.Address(), Slots: 8, Draining: true}}
		}
		h.servers.Replace(list, time.Now(), time.Time{})
		w.CloseListener()
		rest, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(worker.Event(id, 1) + string(rest)).To(Equal(worker.StreamBody(id, 5)))
		_ = resp.Body.Close()
	}
}

// Guards against delivering part of a buffered response that only the end of its connection delimits when the server
// exits.
func TestUnframedResponsesOfAServerThatExitsAreNotDelivered(t *testing.T) {
	for _, exits := range []bool{true, false} {
		h := harnessForTest(t, 1)
		w := h.workers[0]
		Expect(h.post("/once/", "first").status).To(Equal(200)) // opens the connection
		if exits {
			w.CloseListener()
		}
		w.SetBehaviour(worker.Behaviour{Framing: worker.FramedByClose, Cut: &worker.Cut{Bytes: 4}})
		resp := h.post("/once/", "second")
		if exits {
			Expect(resp.status).To(Equal(502))
		} else {
			Expect(resp.status).To(Equal(200), "an orderly close is the end of the response")
		}
	}
}
