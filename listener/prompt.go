package listener

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
)

// meanBytesPerToken is the mean length of a token, used to estimate the length
// of a prompt. Only engines count tokens exactly.
const meanBytesPerToken = 4

// estimateTokens estimates the number of tokens in a text.
func estimateTokens(text string) identifier.Tokens {
	return identifier.Tokens((len(text) + meanBytesPerToken - 1) / meanBytesPerToken)
}

// blockHashes returns the hashes of a prompt's complete blocks. Each hash
// covers the model and all text up to the end of its block.
func blockHashes(model, prompt string) []identifier.Block {
	const blockBytes = int(identifier.BlockTokens) * meanBytesPerToken
	blocks := make([]identifier.Block, 0, len(prompt)/blockBytes)
	hash := xxhash.Sum64String(model)
	for len(prompt) >= blockBytes {
		var previous [8]byte
		binary.LittleEndian.PutUint64(previous[:], hash)
		d := xxhash.New()
		_, _ = d.Write(previous[:])
		_, _ = d.WriteString(prompt[:blockBytes])
		hash = d.Sum64()
		blocks = append(blocks, identifier.Block(hash))
		prompt = prompt[blockBytes:]
	}
	return blocks
}
