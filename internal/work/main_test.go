package work

import (
	"os"
	"testing"

	"arbutuswing.example/internal/seeds"
)

func TestMain(m *testing.M) {
	seeds.Fix()
	os.Exit(m.Run())
}
