package owner

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFormerOwnerDoesNotKeepOthersFromTakingOver guards against a group without an owner: a takeover fences the owner, but ends before
// its claim is recorded. The former owner joins the group again, where the others take it for the owner, and isn't assigned the
// partition.
func TestFormerOwnerDoesNotKeepOthersFromTakingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimSystem(t, 1, simTroubles{})
		serves := func() bool { return slices.ContainsFunc(s.nodes[:], func(n *simNode) bool { return n.serves() }) }
		s.nodes[0].connection.set(func(c *simConnection) { c.cutGroups = true })
		time.Sleep(5 * time.Second)
		assert.Check(t, s.nodes[1].serves())
		s.nodes[0].connection.set(func(c *simConnection) { c.cutGroups, c.cutAppends[TopicOwner] = false, true })
		s.nodes[1].connection.set(func(c *simConnection) { c.cutGroups = true })
		time.Sleep(4 * time.Second)
		s.nodes[1].connection.heal()
		// The record of a new job shows the owner that it is fenced.
		s.submit()
		for _, n := range s.nodes {
			_ = n.owner.Submit(s.jobs[0])
		}
		time.Sleep(4 * time.Second)
		assert.Check(t, !serves())
		s.nodes[0].stop()
		s.startNode(0)
		time.Sleep(15 * time.Second)
		assert.Check(t, serves(), "no node serves 15 s after the takeover has ended")
		for _, n := range s.nodes {
			n.stop()
		}
		s.clients.Wait()
		time.Sleep(10 * time.Second)
	})
}
