// Package quarantine detects requests, and parts of prompts, that crash the backend servers which run them, and refuses
// such requests before they reach further servers.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// ID identifies a request across retries: attempts with the same ID are the same request. A prompt part has one too. It is a
// SHA-256 digest truncated to 128 bits. With a non-cryptographic hash, a caller could construct a
// body that collides with another caller's request and have that request refused.
type ID [16]byte

// Identify computes the ID of a request from its team, method, host, target and body. Headers are
// excluded because they differ between attempts. The service is excluded so that a request which was
// quarantined stays so when its route moves to another service. The query is included only if the
// body is empty.
func Identify(team, method, host, target string, body []byte) ID {
	path, query, _ := strings.Cut(target, "?")
	if len(body) > 0 {
		query = ""
	}
	return digest([]string{team, method, strings.ToLower(host), path, query}, body)
}

// digest returns the ID for a list of fields, which are delimited by their lengths, and a body.
func digest(fields []string, body []byte) ID {
	h := sha256.New()
	for _, field := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(body)
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}

// MarshalText returns the output of String.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// String returns the ID in hexadecimal, as it appears in logs and as the key in the store.
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
