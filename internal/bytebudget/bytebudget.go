// Package bytebudget limits the bytes that a process holds for all of its requests and responses together.
package bytebudget

import "sync"

// Limits are the sizes of a budget, in bytes.
type Limits struct {
	Total    int64 // all bytes
	Requests int64 // part of Total that request bodies may take
	// Responses is the part of Total that responses may take, and SmallResponses the part of it that only responses of
	// at most SmallResponseBytes may take.
	Responses, SmallResponses int64
}

// SmallResponseBytes is the size up to which a response may take all of the part for responses.
const SmallResponseBytes = 8 << 10

// Budget is a number of bytes that request bodies and responses share. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu                  sync.Mutex
	requests, responses int64
}

// New returns a budget of which nothing is taken.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// ReserveRequest takes n bytes for a request body, whose size is known in advance, and reports whether they were free.
// They must be returned with ReleaseRequest.
func (b *Budget) ReserveRequest(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests+n > b.limits.Requests || b.requests+n+b.responses > b.limits.Total {
		return false
	}
	b.requests += n
	return true
}

// ReleaseRequest returns n bytes of a request body.
func (b *Budget) ReleaseRequest(n int64) {
	b.mu.Lock()
	b.requests -= n
	b.mu.Unlock()
}

// Held returns the bytes that are taken for request bodies and for responses.
func (b *Budget) Held() (requests, responses int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.responses
}

// Response is the part of a budget that a response takes. The zero value can't be used; see Budget.Response. It is not
// safe for concurrent use.
type Response struct {
	budget *Budget
	size   int64
}

// Response returns a part of the budget for a response, of which nothing is taken. It must be resized to 0 in the end.
func (b *Budget) Response() *Response { return &Response{budget: b} }

// Resize changes the bytes that the response takes to size, and reports whether that was possible. A large response may
// not take more than what remains free for others: the fewer bytes are free, the smaller are the responses that are
// given up, so that a few large ones don't displace all others.
func (r *Response) Resize(size int64) bool {
	if size == r.size {
		return true
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.responses - r.size
	free := min(b.limits.Responses, b.limits.Total-b.requests) - others - size
	if size > SmallResponseBytes {
		free -= b.limits.SmallResponses + size
	}
	if size > r.size && free < 0 {
		return false
	}
	b.responses, r.size = others+size, size
	return true
}
