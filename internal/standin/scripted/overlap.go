package scripted

import (
	"sync"
	"time"
)

// mostOverlap is how long a server may still work on a request after another server has begun to.
const mostOverlap = 400 * time.Millisecond

// OverlapCheck finds requests that go on at a server while the one before still works on them.
type OverlapCheck struct {
	checks sync.WaitGroup
	mu     sync.Mutex
	found  map[string]bool // by request ID
}

// Watch returns the script, which checks at each run whether one of the servers goes on with an earlier run.
func (o *OverlapCheck) Watch(servers func() []*Server, script Script) Script {
	return func(a Arrival) Step {
		step, now := script(a), time.Now()
		if step.Runs {
			o.checks.Go(func() {
				time.Sleep(mostOverlap)
				for _, s := range servers() {
					if s.WorksOn(a.ID, now) {
						o.add(a.ID)
					}
				}
			})
		}
		return step
	}
}

func (o *OverlapCheck) add(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.found == nil {
		o.found = map[string]bool{}
	}
	o.found[id] = true
}

// Of waits for the checks that are in progress, and reports whether a request was found.
func (o *OverlapCheck) Of(id string) bool {
	o.checks.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.found[id]
}
