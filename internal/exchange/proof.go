package exchange

import "net/http"

// Proof is the reason why a send is known not to have run at a server. It is empty if the send may have run.
type Proof string

// The proofs that a send did not run.
const (
	NotConnected Proof = "not_connected" // no connection was opened
	NotSent      Proof = "not_sent"      // nothing of the request was sent
	Rejected     Proof = "rejected"      // the server states that it did not run the request
	Misdirected  Proof = "misdirected"   // another server than the intended one responded
)

// Proof returns the proof that the send did not run.
func (e *Error) Proof() Proof {
	switch {
	case e.MayHaveRun:
		return ""
	case e.Stage == Connecting:
		return NotConnected
	}
	return NotSent
}

// Proof returns the proof that the send did not run. rejected tells whether the header states it.
func (r *Response) Proof(rejected bool) Proof {
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		return Misdirected
	case rejected:
		return Rejected
	}
	return ""
}
