package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/registry"
)

func TestQuarantineAPI(t *testing.T) {
	g := NewWithT(t)
	gw := New(Settings{}, nil, registry.New(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	call := func(method, path string) (int, string) {
		w := httptest.NewRecorder()
		gw.operationsHandler().ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w.Code, w.Body.String()
	}
	status, body := call(http.MethodGet, "/quarantine")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(MatchJSON(`{"requests":[],"suspects":0}`))

	id, now := quarantine.Identify("team", "POST", "a.example", "/x/", []byte("body")), time.Now()
	gw.quarantine.RecordRun(time.Second, now.Add(-time.Minute))
	for i := range 3 {
		at := now.Add(time.Duration(i-3) * time.Second)
		gw.quarantine.RecordCrash(id, quarantine.Crash{Server: fmt.Sprint("i-", i), SentAt: at.Add(-50 * time.Millisecond), At: at}, at)
	}
	gw.quarantine.DueUpdates(now)
	_, body = call(http.MethodGet, "/quarantine")
	g.Expect(body).To(ContainSubstring(id.String()))
	g.Expect(body).To(ContainSubstring(`"servers":["i-0","i-1","i-2"]`))

	status, body = call(http.MethodDelete, "/quarantine/none")
	g.Expect(status).To(Equal(http.StatusBadRequest))
	g.Expect(body).To(ContainSubstring("request"))
	status, _ = call(http.MethodDelete, "/quarantine/"+id.String())
	g.Expect(status).To(Equal(http.StatusNoContent))
	status, _ = call(http.MethodDelete, "/quarantine/"+id.String())
	g.Expect(status).To(Equal(http.StatusNotFound))
	status, _ = call(http.MethodGet, "/metrics")
	g.Expect(status).To(Equal(http.StatusOK))
}
