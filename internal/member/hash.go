package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"arbutuswing.example/internal/model"
)

// Rank returns the instances in rendezvous order for a key, with the owner first. Removing an instance does not change
// the order of the others, so only the keys that it owned get another owner.
func Rank(key string, instances []model.InstanceID) []model.InstanceID {
	out := slices.Clone(instances)
	slices.SortFunc(out, func(a, b model.InstanceID) int {
		if c := cmp.Compare(rendezvousScore(key, b), rendezvousScore(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out
}

// Owner returns the first instance in rendezvous order for a key; it returns false if there are no instances.
func Owner(key string, instances []model.InstanceID) (model.InstanceID, bool) {
	if len(instances) == 0 {
		return "", false
	}
	best := instances[0]
	for _, other := range instances[1:] {
		a, b := rendezvousScore(key, other), rendezvousScore(key, best)
		if a > b || (a == b && other < best) {
			best = other
		}
	}
	return best, true
}

// rendezvousScore returns the rendezvous hash of an instance for a key; the highest comes first.
func rendezvousScore(key string, instance model.InstanceID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(instance))
	return digest.Sum64()
}
