package quarantine

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/fault"
)

func TestTheSameRequestHasTheSameID(t *testing.T) {
	g := NewWithT(t)
	id := func(team, host, target, body string) ID {
		return Identify(team, "POST", host, target, []byte(body))
	}
	first := id("team", "a.example", "/ask/x?try=1", "body")
	g.Expect(id("team", "A.example", "/ask/x?try=2", "body")).To(Equal(first), "another attempt")
	for difference, other := range map[string]ID{
		"another team":           id("other", "a.example", "/ask/x", "body"),
		"another host":           id("team", "b.example", "/ask/x", "body"),
		"another path":           id("team", "a.example", "/ask/y", "body"),
		"another body":           id("team", "a.example", "/ask/x", "bodY"),
		"no body":                id("team", "a.example", "/ask/x", ""),
		"shifted field boundary": id("teama.example", "", "/ask/x", "body"),
	} {
		g.Expect(other).NotTo(Equal(first), difference)
	}
	g.Expect(Identify("team", "PUT", "a.example", "/ask/x", []byte("body"))).NotTo(Equal(first))
	g.Expect(id("team", "a.example", "/ask/x?of=1", "")).NotTo(Equal(id("team", "a.example", "/ask/x?of=2", "")),
		"without a body the query is part of the ID")
}

func TestIDsRoundTrip(t *testing.T) {
	g := NewWithT(t)
	first := Identify("team", "POST", "a.example", "/", []byte("body"))
	g.Expect(ParseID(first.String())).To(Equal(first))
	for _, text := range []string{"", "00", first.String() + "00", "zz" + first.String()[2:]} {
		_, err := ParseID(text)
		g.Expect(fault.Is(err, fault.BadRequest)).To(BeTrue())
		g.Expect(err.Error()).To(ContainSubstring("request"))
	}
}
