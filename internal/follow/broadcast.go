package follow

import "sync"

// broadcast signals events to all waiting goroutines. The zero value is ready to use. It is safe
// for concurrent use.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next event.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

// notify wakes all goroutines that are waiting.
func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
