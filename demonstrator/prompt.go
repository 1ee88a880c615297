package demonstrator

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// The phrases that prompts are composed of.
var (
	members          = []string{"sill beam", "corner post", "rafter", "tie beam", "purlin", "floor joist", "ridge beam", "brace"}
	timbers          = []string{"sal, grade A", "sal, grade B", "pine, kiln dried", "douglas fir", "oak, green"}
	joints           = []string{"housed mortise and tenon", "dovetail lap", "scarf with two keys", "bridle joint", "pegged tenon"}
	closingSentences = []string{"Check the joinery of this kit.", "Write a load note for the roof.", "Summarise the timber grades."}
)

func pickPhrase(rng *rand.Rand, list []string) string { return list[rng.IntN(len(list))] }

// question returns a short prompt of one question.
func question(rng *rand.Rand) string {
	return fmt.Sprintf("Kit %d: is a %s with a %s in %s enough for a span of %d mm at %d kg/m2 of snow? %s",
		rng.IntN(9000)+1000, pickPhrase(rng, members), pickPhrase(rng, joints), pickPhrase(rng, timbers),
		2400+100*rng.IntN(30), 60+10*rng.IntN(20), pickPhrase(rng, closingSentences))
}

// specification returns a long prompt: sections of a specification until it has the
// given number of bytes, and a closing sentence.
func specification(rng *rand.Rand, bytes int) string {
	var w strings.Builder
	fmt.Fprintf(&w, "Specification of timber-frame house kit %d.\n", rng.IntN(9000)+1000)
	for section := 1; w.Len() < bytes; section++ {
		fmt.Fprintf(&w, "%d. %s, %d by %d mm, length %d mm, %s; joined by %s; design load %d N/m.\n",
			section, pickPhrase(rng, members), 80+20*rng.IntN(8), 140+20*rng.IntN(8), 1800+50*rng.IntN(90),
			pickPhrase(rng, timbers), pickPhrase(rng, joints), 400+25*rng.IntN(60))
	}
	w.WriteString(pickPhrase(rng, closingSentences))
	return w.String()
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
