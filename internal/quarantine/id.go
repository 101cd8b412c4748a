// Package quarantine finds requests that end the backend servers which run them, and keeps
// them from the servers that are left.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// ID tells what callers ask for again from what is asked for once: two attempts with the same
// ID are the same request. It is half of a SHA-256 digest. Who can choose bodies can choose
// collisions of a fast hash, and have another request refused.
type ID [16]byte

// Identify returns the ID of a request: who asks, where and what. Headers differ from attempt to
// attempt and don't count; nor does the service, as a route that moves to another one would have
// the same request end as many servers there. The query counts only where there is no body.
func Identify(team, method, host, target string, body []byte) ID {
	path, query, _ := strings.Cut(target, "?")
	if len(body) > 0 {
		query = ""
	}
	h := sha256.New()
	for _, part := range []string{team, method, strings.ToLower(host), path, query} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}

// String returns the ID in hexadecimal digits, as logs, metrics and the store have it.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID reads what String gives. Errors have code BadRequest and name the field.
func ParseID(text string) (ID, error) {
	var id ID
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(id) {
		return id, fault.New(fault.BadRequest, "%q is not %d hexadecimal digits", text, 2*len(id)).WithField("request")
	}
	copy(id[:], b)
	return id, nil
}
