package gateway_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/standin/scripted"
)

// Guards against logs from which it can't be told why a request was sent again.
func TestLogShowsConnectionProofAndDroppedResponsesOfEachSend(t *testing.T) {
	h, _ := scriptedHarness(t, 1, func(a scripted.Arrival) scripted.Step {
		if a.ID == "b" && a.Earlier == 0 {
			return scripted.Step{Status: http.StatusServiceUnavailable, NotExecuted: true}
		}
		return scripted.Step{Runs: true, Status: http.StatusOK, Copies: []scripted.Copy{{ID: scripted.NoID}}}
	})
	for _, id := range []string{"a", "b"} {
		Expect(h.post("/once/", id).status).To(Equal(200))
	}
	type send struct {
		Conn, Exchange int
		Proof          string
		Dropped        struct {
			Count int
			First struct{ Reason string }
		}
	}
	var sends []send
	for _, text := range strings.Split(h.log.String(), "\n") {
		var line struct {
			ID    string
			Sends []send
		}
		if json.Unmarshal([]byte(text), &line) == nil && line.ID == "b" {
			sends = line.Sends
		}
	}
	Expect(sends).To(HaveLen(2))
	Expect(sends[0].Exchange).To(Equal(2), "the connection of request a")
	Expect(sends[0].Proof).To(Equal("rejected"))
	Expect(sends[0].Dropped.Count).To(Equal(1))
	Expect(sends[0].Dropped.First.Reason).To(Equal("no_id"))
	Expect(sends[1].Exchange).To(Equal(1))
	Expect(sends[1].Conn).NotTo(Equal(sends[0].Conn))
	Expect(sends[1].Proof).To(BeEmpty())
}
