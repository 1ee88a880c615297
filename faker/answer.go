package faker

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
)

// Answer returns the texts of the first n tokens of the answer to a prompt. It
// depends only on the prompt. Each text ends with a space.
func Answer(prompt string, n identifier.Tokens) []string {
	texts := make([]string, 0, n)
	for i := range n {
		texts = append(texts, tokenText(prompt, i))
	}
	return texts
}

// AnswerLength returns the number of tokens of the answer to a prompt, which is
// between half of maxTokens and maxTokens. It depends only on the arguments.
func AnswerLength(prompt string, maxTokens identifier.Tokens) identifier.Tokens {
	if maxTokens <= 1 {
		return maxTokens
	}
	return maxTokens - identifier.Tokens(xxhash.Sum64String(prompt)%uint64(maxTokens/2+1))
}

func tokenText(prompt string, i identifier.Tokens) string {
	seed := strconv.AppendUint(nil, xxhash.Sum64String(prompt), 36)
	seed = strconv.AppendInt(append(seed, '/'), int64(i), 10)
	return strconv.FormatUint(xxhash.Sum64(seed)&0xffffff, 36) + " "
}
