package follow

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/merlinpost/merlinpost/internal/peers"
)

// gatewaysEvery is how often the list of gateways is read. New ones are learnt of
// from their heartbeats; the list only brings together gateways that have never
// heard of each other.
const gatewaysEvery = 20 * time.Second

// gatewayDoc is our own entry of a gateway in the store; the key is its host.
type gatewayDoc struct {
	Address netip.AddrPort `json:"address"`
}

// followGateways enters this gateway in the store and reads the others until ctx
// ends.
func (f *Follower) followGateways(ctx context.Context) {
	entered := false
	for ctx.Err() == nil {
		pause := gatewaysEvery
		if !entered {
			entered = f.enterGateway(ctx)
		}
		if !f.readGateways(ctx) || !entered {
			pause = retryMost
		}
		sleep(ctx, pause)
	}
}

func (f *Follower) enterGateway(ctx context.Context) bool {
	self := f.Peers.Self()
	value, err := json.Marshal(gatewayDoc{self.Address})
	if err == nil {
		err = f.store.Load().Put(ctx, f.Topics.Gateways, Record{self.Host, value}, readTimeout)
	}
	if err != nil && ctx.Err() == nil {
		f.Logger.Warn("gateway not entered in the store yet", "error", err)
	}
	return err == nil
}

func (f *Follower) readGateways(ctx context.Context) bool {
	records, _, err := f.store.Load().Newest(ctx, f.Topics.Gateways, readTimeout)
	if err != nil {
		if ctx.Err() == nil {
			f.Logger.Warn("list of gateways not read", "error", err)
		}
		return false
	}
	var list []peers.Member
	for _, r := range records {
		var doc gatewayDoc
		if err := json.Unmarshal(r.Value, &doc); err != nil {
			f.Logger.Error("gateway entry rejected", "host", r.Key, "error", err)
			continue
		}
		list = append(list, peers.Member{Host: r.Key, Address: doc.Address})
	}
	f.Peers.AddListed(list)
	return true
}
