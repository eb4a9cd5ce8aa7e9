package shard

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
