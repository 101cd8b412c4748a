package follow

import "sync"

// signal wakes all who wait for its next event. The zero value is ready; it is safe for
// concurrent use.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns a channel that is closed at the next event.
func (s *signal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// tell ends all waits that have begun.
func (s *signal) tell() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
