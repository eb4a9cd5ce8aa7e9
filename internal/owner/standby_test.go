package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/ledger"
)

// TestFormerOwnerInTheGroupIsReplaced guards against a group that waits forever for the member that last began a takeover: it has
// lost the ownership, and was back in the group before another member noticed that it had left.
func TestFormerOwnerInTheGroupIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimSystem(t, 1, simTroubles{})
		time.Sleep(3 * time.Second)
		s.running()[2].stop()
		// The store assigns the partition to n0, the first member, whenever n0 is there.
		s.running()[0].stop()
		time.Sleep(5 * time.Second)
		s.startNode(0)
		time.Sleep(3 * time.Second)
		other, former := s.running()[0], s.running()[1]
		assert.Assert(t, former.serves())
		other.connection.set(func(c *simConnection) { c.refusals = 1 })
		time.Sleep(2 * time.Second)
		epoch := former.owner.current().epoch
		assert.NilError(t, s.store.append(ledger.Batch{Topic: TopicOwner, Producer: producer, Epoch: epoch + 1}))
		for former.owner.current() != nil {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(standbyAfterFailure - 350*time.Millisecond)
		other.connection.set(func(c *simConnection) { c.refusals, c.membersDelay = 0, 700*time.Millisecond })
		time.Sleep(2 * time.Second)
		other.connection.set(func(c *simConnection) { c.membersDelay = 0 })
		time.Sleep(10 * time.Second)
		assert.Check(t, other.serves() || former.serves())
		other.stop()
		former.stop()
	})
}
