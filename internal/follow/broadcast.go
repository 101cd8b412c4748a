package follow

import "sync"

// broadcast wakes all waiting goroutines at each event. The zero value is ready to use. It is safe for
// concurrent use.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next event.
func (s *broadcast) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// notify wakes all goroutines that are waiting.
func (s *broadcast) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
