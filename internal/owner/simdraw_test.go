package owner

import (
	"hash/fnv"
	"math/rand"
)

// simDraws derives random numbers from a seed and the name of what they are drawn for, so that a draw doesn't depend on the order
// in which goroutines ask.
type simDraws struct{ seed int64 }

// rand returns the generator of the nth draw for a name.
func (d simDraws) rand(name string, n int) *rand.Rand {
	h := fnv.New64a()
	var data [16]byte
	for i := range 8 {
		data[i], data[8+i] = byte(d.seed>>(8*i)), byte(n>>(8*i))
	}
	_, _ = h.Write(data[:])
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewSource(int64(h.Sum64())))
}
