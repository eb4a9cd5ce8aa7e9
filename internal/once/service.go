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
	// ErrConfig reports an invalid configuration.
	ErrConfig = errors.New("invalid configuration")
	// ErrUnknownOutcome reports that an earlier attempt may have run the request, so it must not be run now.
	ErrUnknownOutcome = errors.New("whether the request ran is unknown")
	// ErrRunning reports that another attempt with the same request ID is running.
	ErrRunning = errors.New("the request ID is in use")
	// ErrAnswered reports that the request ran and the client received an answer.
	ErrAnswered = errors.New("the request was answered before")
	// ErrRefused reports that the claim was refused and that the request did not run.
	ErrRefused = errors.New("the request ID was not claimed")
	// ErrMembershipMismatch reports that the membership at the requested offset is not the current one here.
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
	maxMovedRetries   = 5
	movedRetryDelay   = 50 * time.Millisecond
	// freshnessMargin covers the time for which a member may go on deciding under a membership that was replaced.
	freshnessMargin = 5 * time.Second
)

// ClaimRequest asks the owner of an ID for the right to run the request with that ID.
type ClaimRequest struct {
	ID       string
	Claimant string
	// Offset identifies the membership by which the claimant chose the owner.
	Offset model.Offset
}

// SettleRequest tells the owner of an ID how the request ended.
type SettleRequest struct {
	ID       string
	Claimant string
	// Ran is false only if the request certainly did not run.
	Ran bool
	// Answered is true if the client received the whole answer.
	Answered bool
}

// Handoff is what a member knows about the IDs that another member owns now.
type Handoff struct {
	Entries []Entry
	// Epochs, KnownSince and First are the sender's membership history, with times sent as ages. They show the receiver
	// which earlier owners may have granted a claim for an ID: Epochs has been complete since KnownSince, and First is
	// set if no membership preceded the oldest epoch.
	Epochs     []HandoffEpoch
	KnownSince time.Duration
	First      bool
}

// HandoffEpoch is a membership and how long ago it was replaced; zero means that it is the current one.
type HandoffEpoch struct {
	Membership  Membership
	ReplacedAgo time.Duration
}

// Peers calls the services of other members.
type Peers interface {
	// Claim asks the owner of an ID for the right to run its request. After an error the claim may still have been
	// granted.
	Claim(ctx context.Context, to Member, req ClaimRequest) (Status, error)
	// Settle tells the owner of an ID how its request ended.
	Settle(ctx context.Context, to Member, req SettleRequest) error
	// Handoff asks member from for the entries of the IDs that self owns under the membership at offset.
	Handoff(ctx context.Context, from, self Member, offset model.Offset) (Handoff, error)
}

// Config configures a Service.
type Config struct {
	Self  Member
	Peers Peers
	Clock clockwork.Clock
	Log   *zap.Logger
	// Retention is how long an ID chosen by a client is remembered after its request ended.
	Retention time.Duration
	// Validity is how long after its issue an issued ID may be claimed.
	Validity time.Duration
	// MaxRunTime is the longest time that a request may run; an unsettled entry expires after it.
	MaxRunTime time.Duration
	// Capacity is the maximum number of entries.
	Capacity int
	// MayDecide reports whether this member's membership is recent enough for it to decide about IDs chosen by clients.
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

// Check returns ErrConfig for an invalid configuration.
func (c Config) Check() error {
	if c.Self.Instance == "" || c.Peers == nil {
		return fmt.Errorf("%w: Self and Peers are required", ErrConfig)
	}
	return nil
}

// Service decides claims for the IDs that this member owns and forwards other claims to their owners.
type Service struct {
	cfg           Config
	issuer        *issuer
	table         *table
	history       *history
	claimSequence atomic.Int64

	// membershipMu makes a membership change wait for decisions under the earlier membership, which hold the read lock.
	membershipMu sync.RWMutex
}

// New returns a service that owns no IDs chosen by clients until ApplyMembership is called. It returns ErrConfig for an
// invalid configuration.
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

// Issue returns a new request ID for which only this incarnation grants a claim.
func (s *Service) Issue() string { return s.issuer.issue(s.cfg.Clock.Now()) }

// ApplyMembership makes a membership read from the log the current one; first is set if no membership was recorded
// before it.
func (s *Service) ApplyMembership(m Membership, first bool) {
	s.membershipMu.Lock()
	defer s.membershipMu.Unlock()
	s.history.advance(m, first, s.cfg.Clock.Now())
}

// Claim asks for the right to run the request with the given ID. It returns a claim, or ErrUnknownOutcome, ErrRunning,
// ErrAnswered or ErrRefused.
func (s *Service) Claim(ctx context.Context, id string) (*Claim, error) {
	claim := &Claim{service: s, id: id, claimant: s.newClaimant()}
	status, err := s.claimWithRetry(ctx, id, claim.claimant)
	if err != nil {
		return nil, err
	}
	if err := errorForStatus(status); err != nil {
		return nil, err
	}
	return claim, nil
}

func (s *Service) newClaimant() string {
	return string(s.cfg.Self.Instance) + "/" + strconv.FormatInt(int64(s.cfg.Self.Incarnation), numberBase) + "/" +
		strconv.FormatInt(s.claimSequence.Add(1), numberBase)
}

// errorForStatus returns the error with which Claim reports a status, or nil for StatusGranted.
func errorForStatus(status Status) error {
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

// claimWithRetry sends a claim to the owner of the ID. It retries while the owner has a different membership from this
// member's, up to maxMovedRetries times.
func (s *Service) claimWithRetry(ctx context.Context, id, claimant string) (Status, error) {
	for attempt := 0; ; attempt++ {
		owner, offset, err := s.owner(id)
		if err != nil {
			return "", err
		}
		req := ClaimRequest{ID: id, Claimant: claimant, Offset: offset}
		status, err := s.claimAtOwner(ctx, owner, req)
		if err != nil {
			// The claim may have been granted although the answer was lost, and an earlier attempt with this ID may
			// have run.
			return "", fmt.Errorf("%w: asking %s: %w", ErrUnknownOutcome, owner.Instance, err)
		}
		if status != StatusMoved || attempt >= maxMovedRetries {
			return status, nil
		}
		if err := s.sleep(ctx, movedRetryDelay); err != nil {
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

func (s *Service) claimAtOwner(ctx context.Context, owner Member, req ClaimRequest) (Status, error) {
	if owner == s.cfg.Self {
		return s.Decide(req), nil
	}
	return s.cfg.Peers.Claim(ctx, owner, req)
}

// owner returns the member that decides about an ID: the issuer of an issued ID, else its owner in the current
// membership.
func (s *Service) owner(id string) (Member, model.Offset, error) {
	m := s.history.current()
	issued, err := ParseIssued(id)
	if err == nil {
		return s.issuerMember(m, issued)
	}
	owner, ok := m.Owner(id)
	if !ok {
		return Member{}, 0, fmt.Errorf("%w: no membership is known", ErrUnknownOutcome)
	}
	return owner, m.Offset, nil
}

func (s *Service) issuerMember(m Membership, id IssuedID) (Member, model.Offset, error) {
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
	s.membershipMu.RLock()
	defer s.membershipMu.RUnlock()
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
	return s.table.claim(entry, now, s.history.statusOfMissing(req.ID, now))
}

func (s *Service) decideIssued(entry Entry, id IssuedID, now time.Time) Status {
	missingStatus := StatusGranted
	if !s.issuer.issued(id) || now.Sub(id.IssuedAt) >= s.cfg.Validity {
		missingStatus = StatusUnknown
	}
	// The entry must not expire before the ID does, because a second claim for the ID would then be granted.
	if end := id.IssuedAt.Add(s.cfg.Validity); entry.Expires.Before(end) {
		entry.Expires = end
	}
	return s.table.claim(entry, now, missingStatus)
}

// Finish records the end of a request as the owner of its ID. If the request did not run, the ID may be claimed again.
func (s *Service) Finish(req SettleRequest) {
	if !req.Ran {
		s.table.release(req.ID, req.Claimant)
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

// Size returns the number of entries in the table.
func (s *Service) Size() int { return int(s.table.size.Load()) }
