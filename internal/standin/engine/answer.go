// Package engine stands in for a model engine: continuous batching with a step
// time, a prompt-prefix cache with limited memory, priorities, cancel and
// resume of streams, KV export and import, late and gappy cache events,
// lagging load reports, and orders with or without a fencing check.
//
// Its answers are a function of the prompt, so that a test can tell whose
// answer it holds and whether it is whole.
package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answers have, unless the request bounds them, shortAnswer to shortAnswer+answerSpread-1
// tokens, as the prompt decides.
const (
	shortAnswer  = 16
	answerSpread = 48
)

// Token returns token i of the answer to a prompt.
func Token(prompt string, i int) string {
	return token(xxhash.Sum64String(prompt), i)
}

func token(seed uint64, i int) string {
	x := (seed ^ uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return fmt.Sprintf("w%04x ", uint16(x>>32))
}

// Length returns the number of tokens of the answer to a prompt: as the prompt
// decides, but at least min and, unless max is 0, at most max.
func AnswerLength(prompt string, min, max int) int {
	n := shortAnswer + int(xxhash.Sum64String(prompt)%answerSpread)
	if n < min {
		n = min
	}
	if max > 0 && n > max {
		n = max
	}
	return n
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, min, max int) string {
	var b strings.Builder
	for i := range AnswerLength(prompt, min, max) {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
