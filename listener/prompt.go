package listener

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
)

// bytesPerToken is the mean length of a token, by which the length of a
// prompt is estimated. Engines count exactly.
const bytesPerToken = 4

// tokensOf estimates the tokens of a text.
func tokensOf(text string) identifier.Tokens {
	return identifier.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// blocksOf returns the hashes of a prompt's whole blocks. Each hash covers
// the model and all text up to the end of its block.
func blocksOf(model, prompt string) []identifier.Block {
	const size = int(identifier.BlockTokens) * bytesPerToken
	blocks := make([]identifier.Block, 0, len(prompt)/size)
	hash := xxhash.Sum64String(model)
	for len(prompt) >= size {
		var before [8]byte
		binary.LittleEndian.PutUint64(before[:], hash)
		d := xxhash.New()
		_, _ = d.Write(before[:])
		_, _ = d.WriteString(prompt[:size])
		hash = d.Sum64()
		blocks = append(blocks, identifier.Block(hash))
		prompt = prompt[size:]
	}
	return blocks
}
