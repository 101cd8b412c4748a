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

// On a slow link a batch of large records takes longer to transfer than the client's timeout.
// If the timeout applied to the whole read instead of to the time without data, every read would
// be aborted and retried, and the process would never get a newer configuration. Gateways had
// this bug.
func TestReadLargeBatchOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New(time.Millisecond)
		clientHost, serverHost := network.Host(10e6), network.Host(0)
		listener := serverHost.Listen(80)
		sent := Batch{First: 1, Next: 4}
		for offset := range uint64(3) {
			sent.Entries = append(sent.Entries, Entry{Offset: 1 + offset, Data: make([]byte, 400_000)})
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(sent)
		})}
		go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed
		client := NewClient(serverHost.Address(80).String(), 700*time.Millisecond)
		client.http.Transport.(*http.Transport).DialContext = clientHost.DialContext
		batch, err := client.Read(context.Background(), StreamConfig, 1, 0)
		_ = server.Close()
		network.Close()
		client.http.CloseIdleConnections()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(batch.Entries).To(HaveLen(3))
	})
}
