package syncer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of the generated test cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "6")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "50")
	os.Exit(m.Run())
}
