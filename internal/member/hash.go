package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"arbutuswing.example/internal/model"
)

// Rank orders instances by rendezvous hashing for a key, the owner first. Removing an instance leaves the order of the
// others unchanged, so only its own keys move.
func Rank(key string, instances []model.InstanceID) []model.InstanceID {
	out := slices.Clone(instances)
	slices.SortFunc(out, func(a, b model.InstanceID) int {
		if c := cmp.Compare(score(key, b), score(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out
}

// Owner returns the first instance in rendezvous order for a key; it returns false if there is none.
func Owner(key string, instances []model.InstanceID) (model.InstanceID, bool) {
	if len(instances) == 0 {
		return "", false
	}
	best := instances[0]
	for _, other := range instances[1:] {
		a, b := score(key, other), score(key, best)
		if a > b || (a == b && other < best) {
			best = other
		}
	}
	return best, true
}

func score(key string, instance model.InstanceID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(instance))
	return digest.Sum64()
}
