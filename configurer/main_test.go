package configurer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of the generated test cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "6")
	_ = flag.Set("rapid.checks", "2000")
	os.Exit(m.Run())
}
