package owner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// callClass is a kind of advice call in a replayed load.
type callClass struct {
	serviceTime time.Duration
	// backlog is how many calls wait at the start, and interval the time between two later ones; zero means that none come.
	backlog  int
	interval time.Duration
}

// replay sends a load of advice calls through the dispatcher's choice of nodes in steps of a millisecond. It returns the mean
// number of nodes that serve a call.
func replay(a *adviceDispatcher, nodes []Member, length time.Duration, classes ...callClass) float64 {
	type runningCall struct {
		serviceTime time.Duration
		left        time.Duration
	}
	const step = time.Millisecond
	queues := make(map[Member][]runningCall)
	waiting := make([]int, len(classes))
	for i, class := range classes {
		waiting[i] = class.backlog
	}
	busy := 0
	for now := time.Duration(0); now < length; now += step {
		for i, class := range classes {
			if class.interval > 0 && now%class.interval == 0 {
				waiting[i]++
			}
			for waiting[i] > 0 {
				node, ok := a.pickNode(nodes, class.serviceTime)
				if !ok {
					break
				}
				waiting[i]--
				a.begin(node, class.serviceTime)
				queues[node] = append(queues[node], runningCall{class.serviceTime, class.serviceTime})
			}
		}
		for node, queue := range queues {
			if len(queue) == 0 {
				continue
			}
			busy++
			if queue[0].left -= step; queue[0].left <= 0 {
				a.end(node, queue[0].serviceTime)
				queues[node] = queue[1:]
			}
		}
		time.Sleep(step)
	}
	return float64(busy) / float64(length/step)
}

// TestAllNodesCallWhenFewAreLeft guards against nodes that stay idle while a backlog of long calls waits: with three nodes
// left only one served them.
func TestAllNodesCallWhenFewAreLeft(t *testing.T) {
	const backlog = 350
	long := callClass{serviceTime: 600 * time.Millisecond, backlog: backlog}
	short := callClass{serviceTime: 13 * time.Millisecond, interval: 20 * time.Millisecond}
	tests := []struct {
		name    string
		nodes   int
		classes []callClass
		atLeast float64
	}{
		{"one node", 1, []callClass{long}, 0.98},
		{"two nodes", 2, []callClass{long}, 1.98},
		{"three nodes", 3, []callClass{long}, 2.95},
		{"three nodes beside short calls", 3, []callClass{short, long}, 2.6},
		{"five nodes", 5, []callClass{long}, 4.95},
		{"all nodes", 32, []callClass{long}, 31.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var nodes []Member
			for i := range test.nodes {
				nodes = append(nodes, Member{Node: fmt.Sprintf("n%02d", i)})
			}
			synctest.Test(t, func(t *testing.T) {
				busy := replay(newAdviceDispatcher(nil), nodes, 5*time.Second, test.classes...)
				assert.Assert(t, busy >= test.atLeast, "%.2f of %d nodes serve a call", busy, test.nodes)
			})
		})
	}
}
