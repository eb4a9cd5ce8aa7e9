package faults

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	exitConflict = 3
	exitWaiting  = 5
)

// TestOperatorsRace guards the invariant config-forward against two operators who change the same declarations at the same
// time: the later change could silently undo the earlier one.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 1, workers: 1})
	const rounds = 5
	won := []string{}
	for round := range rounds {
		base := c.status(c.entries[0]).Declarations
		within(t, waitLimit, "same declarations everywhere", func() bool {
			return c.allLive(func(e *entry) bool { return c.status(e).Declarations == base })
		})
		var (
			race  sync.WaitGroup
			codes [2]int
			outs  [2]string
		)
		plans := [2]string{c.plan(0, append(won, className(round, 0))), c.plan(1, append(won, className(round, 1)))}
		for i, plan := range plans {
			race.Go(func() { codes[i], outs[i] = c.ctl(c.entries[i], "apply", "--plan", plan) })
		}
		race.Wait()
		loser := 0
		if codes[0] == 0 {
			loser = 1
		}
		assert.Equal(t, codes[1-loser], 0, "winner: %s; loser: %s", outs[1-loser], outs[loser])
		assert.Equal(t, codes[loser], exitConflict, outs[loser])
		inForce := c.status(c.entries[1-loser]).Declarations
		assert.Assert(t, inForce > base)
		assert.Assert(t, strings.Contains(outs[loser], strconv.FormatInt(inForce, 10)),
			"offset %d is in force, but the loser got: %s", inForce, outs[loser])
		won = append(won, className(round, 1-loser))
	}
}

func className(round, operator int) string { return fmt.Sprintf("class-%d-%d", round, operator) }

// plan saves the plan of a change that needs no approval: it adds the last of the given classes.
func (c *cluster) plan(operator int, classes []string) string {
	c.t.Helper()
	name := classes[len(classes)-1]
	out := filepath.Join(c.dir, name+".plan")
	c.mustCtl(c.entries[operator], "plan", "--out", out, c.writeDeclarations(name, declarations(0, classes...)))
	return out
}
