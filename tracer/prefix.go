package tracer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
)

// Blocks returns the hashes of the prompt's whole blocks, from first to last.
func (a Arrival) Blocks() []identifier.Block {
	if a.Prefix != nil {
		return a.Prefix
	}
	own := xxhash.Sum64String(string(a.Request))
	blocks := make([]identifier.Block, a.Prompt/identifier.BlockTokens)
	for i := range blocks {
		source := own
		if identifier.Tokens(i+1)*identifier.BlockTokens <= a.Shared {
			source = a.Chain
		}
		blocks[i] = blockHash(source, uint64(i))
	}
	return blocks
}

// SharedBlockTokens returns the number of tokens in the whole blocks of the
// shared prefix.
func (a Arrival) SharedBlockTokens() identifier.Tokens {
	whole := min(a.Shared, a.Prompt) / identifier.BlockTokens
	return whole * identifier.BlockTokens
}

func blockHash(source, index uint64) identifier.Block {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], source)
	binary.LittleEndian.PutUint64(b[8:], index)
	return identifier.Block(xxhash.Sum64(b[:]))
}
