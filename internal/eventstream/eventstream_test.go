package eventstream

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// read reads a stream that arrives in the given parts.
func read(parts ...string) (events []string, incomplete string) {
	var r Reader
	for _, p := range parts {
		r.Add([]byte(p))
		for event := r.Next(false); event != nil; event = r.Next(false) {
			events = append(events, string(event))
		}
	}
	for event := r.Next(true); event != nil; event = r.Next(true) {
		events = append(events, string(event))
	}
	return events, string(r.Incomplete())
}

// Guards against taking the rest of an event for a complete one, and against losing or delaying complete ones.
func TestEventsAreSplitAtBlankLinesInAnyLineEnding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ending := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line ending")
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"data: x", "id: 17", ": comment", "data"}), 1, 4)
		var whole []string
		for _, event := range rapid.SliceOfN(lines, 1, 5).Draw(t, "events") {
			whole = append(whole, strings.Join(event, ending)+ending+ending)
		}
		stream := strings.Join(whole, "")
		cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		var parts []string
		for rest := stream[:cut]; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		complete, end := 0, 0
		for complete < len(whole) && end+len(whole[complete]) <= cut {
			end += len(whole[complete])
			complete++
		}
		events, incomplete := read(parts...)
		g.Expect(strings.Join(events, "")).To(Equal(stream[:end]))
		g.Expect(events).To(HaveLen(complete))
		g.Expect(incomplete).To(Equal(stream[end:cut]))
	})
}

// Guards against holding back an event until the next one arrives.
func TestEventsAreReturnedAsSoonAsTheyAreComplete(t *testing.T) {
	for _, ending := range []string{"\n", "\r\n", "\r"} {
		g := NewWithT(t)
		event := "id: 1" + ending + "data: x" + ending + ending
		var r Reader
		for range 3 {
			r.Add([]byte(event))
			g.Expect(string(r.Next(false))).To(Equal(event))
		}
	}
}

// Guards against taking blank lines for an event, and against losing them.
func TestBlankLinesBelongToTheEventThatFollows(t *testing.T) {
	for _, ending := range []string{"\n", "\r\n", "\r"} {
		g := NewWithT(t)
		event := "id: 1" + ending + ending
		stream := ending + event + event + ending + ending + event + ending
		var parts []string
		for i := range stream {
			parts = append(parts, stream[i:i+1])
		}
		for _, received := range [][]string{{stream}, parts} {
			events, rest := read(received...)
			g.Expect(events).To(Equal([]string{ending + event, event, ending + ending + event}))
			g.Expect(rest).To(Equal(ending))
		}
		var r Reader
		r.Add([]byte(event + ending))
		g.Expect(r.Next(true)).NotTo(BeNil())
		g.Expect(r.Next(true)).To(BeNil())
		g.Expect(r.InsideEvent()).To(BeFalse())
		r.Add([]byte("data"))
		g.Expect(r.InsideEvent()).To(BeTrue())
	}
}

func TestID(t *testing.T) {
	for event, want := range map[string]int64{"id: 12\ndata: x\n\n": 12, "data: id: 3\nid:7\r\n\r\n": 7, "data: x\rid: 5\r\r": 5} {
		id, ok := ID([]byte(event))
		NewWithT(t).Expect(id).To(Equal(want))
		NewWithT(t).Expect(ok).To(BeTrue())
	}
	for _, event := range []string{"", "data: x\n\n", "id: a1\n\n", ": id: 4\n\n"} {
		_, ok := ID([]byte(event))
		NewWithT(t).Expect(ok).To(BeFalse(), event)
	}
}

// Guards against taking other bodies for streams of events, which would make them look incomplete.
func TestIsEvents(t *testing.T) {
	eventStream := http.Header{"Content-Type": {"Text/Event-Stream; charset=utf-8"}}
	for _, c := range []struct {
		header http.Header
		body   string
		want   bool
	}{
		{eventStream, "", true},
		{eventStream, "answer", true},
		{http.Header{"Content-Type": {MediaType}, "Content-Encoding": {"gzip"}}, "data: x", false},
		{http.Header{"Content-Type": {"application/json"}}, "data: x", false},
		{http.Header{}, "", false},
		{http.Header{}, "da", true},
		{http.Header{}, "id: 1\ndata: x\n\n", true},
		{http.Header{}, "data\n", false},
		{http.Header{}, "answer to a", false},
		{http.Header{}, "{\"id\": 1}", false},
	} {
		var r Reader
		for i := range c.body {
			r.Add([]byte{c.body[i]})
		}
		NewWithT(t).Expect(r.IsEvents(c.header)).To(Equal(c.want), "%v %q", c.header, c.body)
	}
}

func TestEndsInsideEvent(t *testing.T) {
	g := NewWithT(t)
	eventStream := http.Header{"Content-Type": {MediaType}}
	g.Expect(EndsInsideEvent(eventStream, nil)).To(BeFalse())
	g.Expect(EndsInsideEvent(eventStream, []byte("data: x\n\ndata: y\r\n\r\n"))).To(BeFalse())
	g.Expect(EndsInsideEvent(eventStream, []byte("data: x\r\r"))).To(BeFalse())
	g.Expect(EndsInsideEvent(eventStream, []byte("data: x\n\ndata: y\n"))).To(BeTrue())
	g.Expect(EndsInsideEvent(http.Header{}, []byte("data: x"))).To(BeFalse())
	g.Expect(EndsInsideEvent(http.Header{"Content-Type": {"text/plain"}}, []byte("data: x"))).To(BeFalse())
}

// Guards against searching a long line again from its start each time data is added.
func TestLongLinesAreSearchedOnce(t *testing.T) {
	g := NewWithT(t)
	var r Reader
	part := []byte(strings.Repeat("x", 1000))
	for i := range 1000 {
		r.Add(part)
		g.Expect(r.Next(false)).To(BeNil())
		g.Expect(r.searched).To(Equal((i + 1) * len(part)))
	}
	r.Add([]byte("\n\n"))
	g.Expect(r.Next(false)).To(HaveLen(1000*len(part) + 2))
}

// Guards against holding the memory of a long event while the stream goes on.
func TestMemoryOfLongEventsIsReleased(t *testing.T) {
	g := NewWithT(t)
	var r Reader
	r.Add([]byte("data: " + strings.Repeat("x", 1<<20) + "\n\n"))
	g.Expect(r.Next(false)).NotTo(BeNil())
	r.Add([]byte("data: y\n\n"))
	g.Expect(cap(r.pending)).To(BeNumerically("<=", maxSpareBytes))
}
