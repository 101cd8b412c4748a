package scripted

import "net/http"

// Response is what the caller of a request got.
type Response struct {
	Status int
	Body   string
	Err    error // why the response is not complete, or nil
	// InTime is set if the response ended before the deadline of the request.
	InTime bool
}

// Violation compares the response to a request with what the servers did with it, and returns the guarantee that it
// violates, or "". want is the body of a success.
func Violation(servers []*Server, id string, mayRepeat bool, want string, r Response) string {
	runs, answered := 0, false
	for _, s := range servers {
		runs += s.RunsOf(id)
		answered = answered || s.Answered(id)
	}
	delivered := r.Status == http.StatusOK && r.Err == nil
	switch {
	case runs > 1 && !mayRepeat:
		return "ran twice"
	case runs > 0 && PromisesNotRun(r.Status):
		return "told not run though run"
	case delivered && r.Body != want:
		return "another body than its own"
	case answered && !delivered && r.InTime:
		return "a complete answer was lost"
	}
	return ""
}

// PromisesNotRun reports whether a status tells the caller that the request did not run and never will.
func PromisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
