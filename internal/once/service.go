package once

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
)

// Errors of the service.
var (
	// ErrConfig reports a configuration that can't work.
	ErrConfig = errors.New("invalid configuration")
	// ErrUnknownOutcome reports that the request may have run; it must not be run now.
	ErrUnknownOutcome = errors.New("whether the request ran is unknown")
	// ErrRunning reports that another attempt under the same request ID is running.
	ErrRunning = errors.New("the request ID is in use")
	// ErrAnswered reports that the request ran and was answered.
	ErrAnswered = errors.New("the request was answered before")
	// ErrRefused reports that the ID was not claimed and never ran.
	ErrRefused = errors.New("the request ID was not claimed")
	// ErrMembershipMismatch reports that the other side holds another membership.
	ErrMembershipMismatch = errors.New("membership is not the one asked for")
)

// Defaults of the table.
const (
	DefaultRetention  = 60 * time.Second
	DefaultValidity   = 10 * time.Minute
	DefaultMaxRunTime = 15 * time.Minute
	DefaultCapacity   = 200_000
	expireInterval    = time.Second
	handoffInterval   = 200 * time.Millisecond
	movedRetries      = 5
	movedDelay        = 50 * time.Millisecond
	// freshnessMargin covers the time for which a member may go on deciding under a replaced membership.
	freshnessMargin = 5 * time.Second
)

// ClaimRequest asks the owner of an ID for the right to run its request.
type ClaimRequest struct {
	ID       string
	Claimant string
	// Offset is the membership offset that the claimant holds.
	Offset model.Offset
}

// SettleRequest tells the owner of an ID how its request ended.
type SettleRequest struct {
	ID       string
	Claimant string
	// Ran is false when the request surely did not run.
	Ran bool
	// Answered is true when the caller got a whole answer.
	Answered bool
}

// Handoff is what a member knows about the IDs that another member owns now.
type Handoff struct {
	Entries []Entry
	// Epochs, KnownSince and First let the receiver tell which IDs an earlier owner may have seen; times are ages.
	Epochs     []HandoffEpoch
	KnownSince time.Duration
	First      bool
}

// HandoffEpoch is a membership and how long ago it was replaced; zero means that it is current.
type HandoffEpoch struct {
	Membership  Membership
	ReplacedAgo time.Duration
}

// Peers reaches the tables of other members.
type Peers interface {
	Claim(ctx context.Context, to Member, req ClaimRequest) (Status, error)
	Settle(ctx context.Context, to Member, req SettleRequest) error
	// Handoff asks from for the entries of the IDs that self owns under the membership at offset.
	Handoff(ctx context.Context, from, self Member, offset model.Offset) (Handoff, error)
}

// Config builds a Service.
type Config struct {
	Self  Member
	Peers Peers
	Clock clockwork.Clock
	Log   *zap.Logger
	// Retention is how long an ID chosen by a caller is remembered after its request ended.
	Retention time.Duration
	// Validity is how long an issued ID may be redeemed.
	Validity time.Duration
	// MaxRunTime is the longest time that a request may run.
	MaxRunTime time.Duration
	// Capacity is the largest number of entries.
	Capacity int
	// MayDecide reports whether this member's membership can't be far out of date; IDs chosen by callers are decided
	// only then.
	MayDecide func() bool
}

// WithDefaults returns the configuration with unset fields filled in.
func (c Config) WithDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.Validity = cmp.Or(c.Validity, DefaultValidity)
	c.MaxRunTime = cmp.Or(c.MaxRunTime, DefaultMaxRunTime)
	c.Capacity = cmp.Or(c.Capacity, DefaultCapacity)
	if c.MayDecide == nil {
		c.MayDecide = func() bool { return true }
	}
	return c
}

// Check returns an error for a configuration that can't work.
func (c Config) Check() error {
	if c.Self.Instance == "" || c.Peers == nil {
		return fmt.Errorf("%w: Self and Peers are required", ErrConfig)
	}
	return nil
}

// Service answers claims for the IDs that this member owns and forwards others to their owners.
type Service struct {
	cfg     Config
	issuer  *issuer
	table   *table
	history *history
	claims  atomic.Int64

	// gate lets a membership change wait for the claims decided under the earlier membership.
	gate sync.RWMutex
}

// New returns a service that owns nothing until Advance is called.
func New(cfg Config) (*Service, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Service{
		cfg:     cfg,
		issuer:  newIssuer(cfg.Self.Instance, cfg.Self.Incarnation),
		table:   newTable(cfg.Capacity),
		history: newHistory(cfg.Self, cfg.Retention+freshnessMargin, cfg.Clock.Now()),
	}, nil
}

// Issue returns a new request ID that only this incarnation redeems.
func (s *Service) Issue() string { return s.issuer.issue(s.cfg.Clock.Now()) }

// ApplyMembership takes over a membership read from the log; first is set when no membership was ever recorded before it.
func (s *Service) ApplyMembership(m Membership, first bool) {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.history.advance(m, first, s.cfg.Clock.Now())
}

// Claim asks for the right to run the request with the given ID. It returns a claim, or ErrUnknownOutcome,
// ErrRunning, ErrAnswered or ErrRefused.
func (s *Service) Claim(ctx context.Context, id string) (*Claim, error) {
	claim := &Claim{service: s, id: id, claimant: s.claimant()}
	status, err := s.ask(ctx, id, claim.claimant)
	if err != nil {
		return nil, err
	}
	if err := statusError(status); err != nil {
		return nil, err
	}
	return claim, nil
}

func (s *Service) claimant() string {
	return string(s.cfg.Self.Instance) + "/" + strconv.FormatInt(int64(s.cfg.Self.Incarnation), numberBase) + "/" +
		strconv.FormatInt(s.claims.Add(1), numberBase)
}

// statusError maps a status to the error that tells the truth about it.
func statusError(status Status) error {
	switch status {
	case StatusGranted:
		return nil
	case StatusRunning:
		return ErrRunning
	case StatusAnswered:
		return ErrAnswered
	case StatusFull:
		return fmt.Errorf("%w: the table is full", ErrRefused)
	default:
		return ErrUnknownOutcome
	}
}

// ask finds the owner of the ID and asks it, again while the memberships of both sides differ.
func (s *Service) ask(ctx context.Context, id, claimant string) (Status, error) {
	for attempt := 0; ; attempt++ {
		owner, offset, err := s.owner(id)
		if err != nil {
			return "", err
		}
		req := ClaimRequest{ID: id, Claimant: claimant, Offset: offset}
		status, err := s.askOwner(ctx, owner, req)
		if err != nil {
			// A lost answer may hide a granted claim, and an earlier attempt under this ID may have run.
			return "", fmt.Errorf("%w: asking %s: %w", ErrUnknownOutcome, owner.Instance, err)
		}
		if status != StatusMoved || attempt >= movedRetries {
			return status, nil
		}
		if err := s.sleep(ctx, movedDelay); err != nil {
			return "", fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
	}
}

func (s *Service) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.cfg.Clock.After(d):
		return nil
	}
}

func (s *Service) askOwner(ctx context.Context, owner Member, req ClaimRequest) (Status, error) {
	if owner == s.cfg.Self {
		return s.Decide(req), nil
	}
	return s.cfg.Peers.Claim(ctx, owner, req)
}

// owner returns the member that decides about the ID.
func (s *Service) owner(id string) (Member, model.Offset, error) {
	m := s.history.current()
	issued, err := ParseIssued(id)
	if err == nil {
		return s.issuerOf(m, issued)
	}
	owner, ok := m.Owner(id)
	if !ok {
		return Member{}, 0, fmt.Errorf("%w: no membership is known", ErrUnknownOutcome)
	}
	return owner, m.Offset, nil
}

func (s *Service) issuerOf(m Membership, id IssuedID) (Member, model.Offset, error) {
	if id.Issuer == s.cfg.Self.Instance && id.Incarnation == s.cfg.Self.Incarnation {
		return s.cfg.Self, m.Offset, nil
	}
	issuer, ok := m.Find(id.Issuer)
	if !ok || issuer.Incarnation != id.Incarnation {
		return Member{}, 0, fmt.Errorf("%w: its issuer is gone", ErrUnknownOutcome)
	}
	return issuer, m.Offset, nil
}

// Decide answers a claim as the owner of its ID.
func (s *Service) Decide(req ClaimRequest) Status {
	s.gate.RLock()
	defer s.gate.RUnlock()
	now := s.cfg.Clock.Now()
	entry := Entry{
		ID: req.ID, Status: StatusRunning, Claimant: req.Claimant, Expires: now.Add(s.cfg.MaxRunTime),
	}
	if issued, err := ParseIssued(req.ID); err == nil {
		return s.decideIssued(entry, issued, now)
	}
	if !s.cfg.MayDecide() {
		return StatusUnknown
	}
	m := s.history.current()
	owner, ok := m.Owner(req.ID)
	if !ok || owner != s.cfg.Self || m.Offset != req.Offset {
		return StatusMoved
	}
	return s.table.claim(entry, now, s.history.unseen(req.ID, now))
}

func (s *Service) decideIssued(entry Entry, id IssuedID, now time.Time) Status {
	unseen := StatusGranted
	if !s.issuer.genuine(id) || now.Sub(id.IssuedAt) >= s.cfg.Validity {
		unseen = StatusUnknown
	}
	// An entry must outlive its ID's validity, else the ID could be redeemed again.
	if end := id.IssuedAt.Add(s.cfg.Validity); entry.Expires.Before(end) {
		entry.Expires = end
	}
	return s.table.claim(entry, now, unseen)
}

// Finish records the end of a request as the owner of its ID.
func (s *Service) Finish(req SettleRequest) {
	if !req.Ran {
		s.table.withdraw(req.ID, req.Claimant)
		return
	}
	status := StatusUnknown
	if req.Answered {
		status = StatusAnswered
	}
	expires := s.cfg.Clock.Now().Add(s.cfg.Retention + freshnessMargin)
	if issued, err := ParseIssued(req.ID); err == nil {
		expires = issued.IssuedAt.Add(s.cfg.Validity)
	}
	s.table.settle(req.ID, req.Claimant, status, expires)
}

// Size returns the number of entries.
func (s *Service) Size() int { return int(s.table.size.Load()) }
