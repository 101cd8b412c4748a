// Package engine is a stand-in for a model engine. It simulates continuous
// batching with a configurable step time, a prompt-prefix cache of limited size,
// priorities, cancellation and resumption of streams, export and import of KV
// blocks, delayed and lossy cache events, delayed load reports, and orders with or
// without fencing tokens.
//
// Answers are a deterministic function of the prompt and the length limits, so that
// a test can verify which prompt an answer belongs to and whether it is complete.
package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Unless the request limits it, the length of an answer is determined by the prompt and
// lies between minAnswerTokens and minAnswerTokens+answerTokenRange-1 tokens.
const (
	minAnswerTokens  = 16
	answerTokenRange = 48
)

// Token returns token i of the answer to a prompt.
func Token(prompt string, i int) string {
	return token(xxhash.Sum64String(prompt), i)
}

// token returns token i of the answer to the prompt with the hash seed.
func token(seed uint64, i int) string {
	x := (seed ^ uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return fmt.Sprintf("w%04x ", uint16(x>>32))
}

// AnswerLength returns the number of tokens of the answer to a prompt. The prompt
// determines it, but it is at least min and, unless max is 0, at most max.
func AnswerLength(prompt string, min, max int) int {
	n := minAnswerTokens + int(xxhash.Sum64String(prompt)%answerTokenRange)
	if n < min {
		n = min
	}
	if max > 0 && n > max {
		n = max
	}
	return n
}

// Answer returns the complete answer to a prompt.
func Answer(prompt string, min, max int) string {
	var b strings.Builder
	for i := range AnswerLength(prompt, min, max) {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
