package follow

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/merlinpost/merlinpost/internal/peers"
)

// gatewaysInterval is how often the list of gateways is read. Gateways usually discover each other
// through heartbeats; the list is only needed by gateways that have not received any from each
// other.
const gatewayListInterval = 20 * time.Second

// gatewayEntry is the stored record of a gateway. Its key is the host name.
type gatewayRecord struct {
	Address netip.AddrPort `json:"address"`
}

// followGateways registers this gateway in the store and reads the list of the others until ctx is
// done.
func (f *Follower) followGateways(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		delay := gatewayListInterval
		if !registered {
			registered = f.registerGateway(ctx)
		}
		if !f.loadGateways(ctx) || !registered {
			delay = maxRetryDelay
		}
		sleep(ctx, delay)
	}
}

func (f *Follower) registerGateway(ctx context.Context) bool {
	self := f.Peers.Self()
	value, err := json.Marshal(gatewayRecord{self.Address})
	if err == nil {
		err = f.store.Load().Put(ctx, f.Topics.Gateways, Record{self.Host, value}, readTimeout)
	}
	if err != nil && ctx.Err() == nil {
		f.Logger.Warn("gateway registration failed, will retry", "error", err)
	}
	return err == nil
}

func (f *Follower) loadGateways(ctx context.Context) bool {
	records, _, err := f.store.Load().Newest(ctx, f.Topics.Gateways, readTimeout)
	if err != nil {
		if ctx.Err() == nil {
			f.Logger.Warn("list of gateways not read", "error", err)
		}
		return false
	}
	var list []peers.Member
	for _, r := range records {
		var doc gatewayRecord
		if err := json.Unmarshal(r.Value, &doc); err != nil {
			f.Logger.Error("gateway entry rejected", "host", r.Key, "error", err)
			continue
		}
		list = append(list, peers.Member{Host: r.Key, Address: doc.Address})
	}
	f.Peers.AddListed(list)
	return true
}
