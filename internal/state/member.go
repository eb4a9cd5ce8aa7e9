package state

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// members holds the recorded entry instances.
type members struct {
	mu      sync.RWMutex
	rows    map[model.InstanceID]Member
	changed model.Offset
	// left holds the incarnation with which an instance left, so that a delayed join of an older incarnation is
	// rejected.
	left map[model.InstanceID]leftMember
}

type leftMember struct {
	Incarnation model.Incarnation `json:"incarnation"`
	Time        int64             `json:"time"`
}

func newMembers() *members {
	return &members{
		rows:    make(map[model.InstanceID]Member),
		changed: model.NoOffset,
		left:    make(map[model.InstanceID]leftMember),
	}
}

// join adds or replaces a member. The same incarnation may join again after it left, because a peer may have removed an
// instance that was only paused.
func (m *members) join(op record.MemberJoined, offset model.Offset) error {
	known, present := m.rows[op.Instance]
	if present && op.Incarnation <= known.Incarnation {
		return ErrDuplicate
	}
	if gone, ok := m.left[op.Instance]; ok && op.Incarnation < gone.Incarnation {
		return ErrDuplicate
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.left, op.Instance)
	m.changed = offset
	m.rows[op.Instance] = Member{
		Instance: op.Instance, Incarnation: op.Incarnation, DataCentre: op.DataCentre,
		PeerAddress: op.PeerAddress, AdminAddress: op.AdminAddress, Joined: offset,
	}
	return nil
}

// leave removes the member if the incarnation is the recorded one.
func (m *members) leave(op record.MemberLeft, offset model.Offset, clock int64) error {
	known, present := m.rows[op.Instance]
	if !present || known.Incarnation != op.Incarnation {
		return ErrNotFound
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.rows, op.Instance)
	m.left[op.Instance] = leftMember{Incarnation: op.Incarnation, Time: clock}
	m.changed = offset
	return nil
}

// list returns the members in name order and the offset of the latest change to them.
func (m *members) list() ([]Member, model.Offset) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.SortedFunc(maps.Values(m.rows), func(a, b Member) int {
		return cmp.Compare(a.Instance, b.Instance)
	}), m.changed
}

// prune forgets instances that left before the time.
func (m *members) prune(before int64) {
	maps.DeleteFunc(m.left, func(_ model.InstanceID, gone leftMember) bool { return gone.Time < before })
}

func (a *applier) applyMemberJoined(op record.MemberJoined) error {
	if err := a.members.join(op, a.offset); err != nil {
		return err
	}
	a.emitMembers()
	return nil
}

func (a *applier) applyMemberLeft(op record.MemberLeft) error {
	if err := a.members.leave(op, a.offset, a.clock); err != nil {
		return err
	}
	a.emitMembers()
	return nil
}

func (a *applier) emitMembers() {
	list, offset := a.members.list()
	a.emit(MembersChanged{Offset: offset, Members: list})
}
