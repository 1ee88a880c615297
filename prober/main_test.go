package prober_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the generated cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "6")
	_ = flag.Set("rapid.checks", "240")
	_ = flag.Set("rapid.steps", "48")
	os.Exit(m.Run())
}
