package configlog

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/standin/memnet"
)

// A batch of large records takes longer on a slow link than a call may be silent. Bounded as a
// whole, the read was cut and begun anew for ever, and the process never had a newer
// configuration, as gateways did.
func TestALargeBatchComesOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New(time.Millisecond)
		here, there := network.Host(10e6), network.Host(0)
		listener := there.Listen(80)
		sent := Batch{First: 1, Next: 4}
		for offset := range uint64(3) {
			sent.Entries = append(sent.Entries, Entry{Offset: 1 + offset, Data: make([]byte, 400_000)})
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(sent)
		})}
		go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed
		client := NewClient(there.Address(80).String(), 700*time.Millisecond)
		client.http.Transport.(*http.Transport).DialContext = here.DialContext
		batch, err := client.Read(context.Background(), StreamConfig, 1, 0)
		_ = server.Close()
		network.Close()
		client.http.CloseIdleConnections()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(batch.Entries).To(HaveLen(3))
	})
}
