// Package quarantine detects requests that crash the backend servers which run them, and refuses
// such requests before they reach further servers.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// ID identifies a request across retries: two attempts with the same ID are the same request. It is
// half of a SHA-256 digest, because with a fast hash a caller who chooses bodies could construct a
// collision and have another caller's request refused.
type ID [16]byte

// Identify returns the ID of a request from its caller, address and content. Headers differ between
// attempts and are left out, and so is the service: a route that moves to another service would
// otherwise let the same request crash as many servers there. The query counts only without a body.
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

// String returns the ID in hexadecimal, as used in logs, metrics and the store.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID parses the output of String. Errors have code BadRequest and name the field.
func ParseID(text string) (ID, error) {
	var id ID
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(id) {
		return id, fault.New(fault.BadRequest, "%q is not an ID of %d hexadecimal digits", text, 2*len(id)).WithField("request")
	}
	copy(id[:], b)
	return id, nil
}
