package policy

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// Rank orders the data centres for a task by rendezvous hash, the first choice first. All tasks of a gang have the same
// order, since they start in one data centre.
func Rank(task model.TaskID, spec model.JobSpec, centres []model.DataCentreID) []model.DataCentreID {
	name := task.String()
	if spec.Kind == model.KindGang {
		name = string(task.Job)
	}
	type scored struct {
		id    model.DataCentreID
		score uint64
	}
	list := make([]scored, 0, len(centres))
	for _, id := range centres {
		if len(spec.DataCentres) > 0 && !slices.Contains(spec.DataCentres, id) {
			continue
		}
		list = append(list, scored{id: id, score: xxhash.Sum64String(string(id) + "\x00" + name)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.id), string(b.id))
	})
	out := make([]model.DataCentreID, len(list))
	for i, s := range list {
		out[i] = s.id
	}
	return out
}

// Offer is a task that waits until this data centre may take it.
type Offer struct {
	Task state.Task
	Spec model.JobSpec
	// First is the data centre that the task is offered to first.
	First model.DataCentreID
	// Delay sets the task back in this data centre's queue.
	Delay time.Duration
	// At is when this data centre may take the task.
	At    time.Time
	index int
}

// Offers holds tasks that other data centres may take first; it is not safe for concurrent use.
type Offers struct {
	heap   indexed[*Offer]
	byTask map[model.TaskID]*Offer
}

// NewOffers returns an empty set.
func NewOffers() *Offers {
	return &Offers{
		byTask: make(map[model.TaskID]*Offer),
		heap: indexed[*Offer]{
			less:  func(a, b *Offer) bool { return a.At.Before(b.At) },
			place: func(o *Offer) *int { return &o.index },
		},
	}
}

// Len returns the number of waiting tasks.
func (o *Offers) Len() int { return len(o.byTask) }

// Put adds a task or replaces its offer.
func (o *Offers) Put(offer Offer) {
	o.Remove(offer.Task.ID)
	offer.index = -1
	o.byTask[offer.Task.ID] = &offer
	o.heap.put(&offer)
}

// Remove takes a task out.
func (o *Offers) Remove(id model.TaskID) {
	if offer, ok := o.byTask[id]; ok {
		o.heap.remove(offer)
		delete(o.byTask, id)
	}
}

// TakeDue takes out the tasks whose time has come.
func (o *Offers) TakeDue(now time.Time) []Offer {
	var out []Offer
	for {
		offer, ok := o.heap.top()
		if !ok || offer.At.After(now) {
			return out
		}
		o.Remove(offer.Task.ID)
		out = append(out, *offer)
	}
}

// TakeAll takes out every task.
func (o *Offers) TakeAll() []Offer {
	return o.TakeWhereFull(func(model.DataCentreID) bool { return true })
}

// TakeWhereFull takes out the tasks whose first choice is full.
func (o *Offers) TakeWhereFull(full func(model.DataCentreID) bool) []Offer {
	var out []Offer
	for _, offer := range o.byTask {
		if full(offer.First) {
			out = append(out, *offer)
		}
	}
	for _, offer := range out {
		o.Remove(offer.Task.ID)
	}
	return out
}
