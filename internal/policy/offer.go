package policy

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// Rank returns the job's allowed data centres in the order in which the task is offered to them, which is that of a
// rendezvous hash. All tasks of a gang get the same order, because they must start in one data centre.
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

// Offer is a task that this data centre may place only later, because other data centres rank before it for the task
// or because the task may not start yet.
type Offer struct {
	Task state.Task
	Spec model.JobSpec
	// First is the data centre that ranks first for the task; empty if the task waits for another reason.
	First model.DataCentreID
	// Delay is passed on to Queue.Put when the task is queued.
	Delay time.Duration
	// At is when this data centre may place the task.
	At time.Time
	// index is the offer's position in Offers.heap.
	index int
}

// Offers holds the tasks that this data centre may not place yet; it is not safe for concurrent use.
type Offers struct {
	heap   indexedHeap[*Offer]
	byTask map[model.TaskID]*Offer
}

// NewOffers returns an empty set of offers.
func NewOffers() *Offers {
	return &Offers{
		byTask: make(map[model.TaskID]*Offer),
		heap: indexedHeap[*Offer]{
			less:    func(a, b *Offer) bool { return a.At.Before(b.At) },
			indexOf: func(o *Offer) *int { return &o.index },
		},
	}
}

// Len returns the number of offers.
func (o *Offers) Len() int { return len(o.byTask) }

// Put adds an offer, or replaces the task's former one.
func (o *Offers) Put(offer Offer) {
	o.Remove(offer.Task.ID)
	offer.index = -1
	o.byTask[offer.Task.ID] = &offer
	o.heap.update(&offer)
}

// Remove removes the offer of a task, if there is one.
func (o *Offers) Remove(id model.TaskID) {
	if offer, ok := o.byTask[id]; ok {
		o.heap.remove(offer)
		delete(o.byTask, id)
	}
}

// TakeDue removes and returns the offers that may be placed at now.
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

// TakeAll removes and returns every offer.
func (o *Offers) TakeAll() []Offer {
	return o.TakeWhereFull(func(model.DataCentreID) bool { return true })
}

// TakeWhereFull removes and returns the offers whose first-ranked data centre is full, as reported by full.
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
