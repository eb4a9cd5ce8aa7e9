package daemon

import (
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"arbutuswing.example/entry/internal/admin"
	"arbutuswing.example/entry/internal/front"
	"arbutuswing.example/entry/internal/pulls"
	"arbutuswing.example/internal/accept"
	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/ephttp"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/lease"
	"arbutuswing.example/internal/links"
	"arbutuswing.example/internal/logs"
	"arbutuswing.example/internal/member"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/platf"
	"arbutuswing.example/internal/policy"
	"arbutuswing.example/internal/route"
	"arbutuswing.example/internal/sched"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// Version is the version of aw-entry.
const Version = "0.1.0"

// components are the components of an entry instance that the daemon runs and stops.
type components struct {
	dig.In

	Settings    config.Entry
	Log         *zap.Logger
	Checker     *invar.Checker
	Stream      *stream.Stream
	Members     *member.Service
	Peers       *peer.Server
	Once        *once.Service
	Router      *route.Router
	Endpoint    *ephttp.Client
	Front       *front.Server
	Admin       *admin.Server
	Leases      *lease.Manager
	Placer      *sched.Placer
	Pulls       *pulls.LeaseMonitor
	Memberships *membershipFeed
	Health      *health
}

// newContainer returns a container with the providers of all components.
func newContainer(settings config.Entry) (*dig.Container, error) {
	c := dig.New()
	providers := []any{
		func() config.Entry { return settings },
		newLog, newChecker, newSelf, newPlatform, newEndpoint, newMachine, newPeerClient, newTable, newStream,
		newMembers, newOnce, newRouter, newPeerServer, newMembershipFeed, newLinks, newPlacer, newLeases, newHealth,
		newPulls, newFront, newAdmin,
		clockwork.NewRealClock,
	}
	for _, provider := range providers {
		if err := c.Provide(provider); err != nil {
			return nil, fmt.Errorf("building the entry instance: %w", err)
		}
	}
	return c, nil
}

func newLog(settings config.Entry) (*zap.Logger, error) {
	log, err := logs.New(os.Stderr, settings.LogLevel)
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("instance", string(settings.Instance)),
		zap.String("data-centre", string(settings.DataCentre))), nil
}

func newChecker(log *zap.Logger) *invar.Checker { return invar.New(log, false) }

func newSelf(settings config.Entry, clock clockwork.Clock) member.Self {
	return member.Self{
		Sender: peer.Sender{
			Instance: settings.Instance, Incarnation: model.Incarnation(clock.Now().UnixNano()),
		},
		DataCentre: settings.DataCentre, PeerAddress: settings.PeerAddress, AdminAddress: settings.AdminAddress,
	}
}

func newPlatform(settings config.Entry) (*platf.Client, error) {
	address, err := url.Parse(settings.Platform)
	if err != nil {
		return nil, fmt.Errorf("parsing the platform's URL: %w", err)
	}
	return platf.New(platf.Config{Address: address.Host, DataCentre: settings.DataCentre})
}

func newEndpoint(settings config.Entry) (*ephttp.Client, error) {
	return ephttp.New(ephttp.Config{MaxConnections: settings.Route.Connections})
}

func newMachine(checker *invar.Checker) (*state.Machine, error) {
	return state.New(state.Config{Invariants: checker})
}

func newPeerClient(settings config.Entry, log *zap.Logger, clock clockwork.Clock) (*peer.Client, error) {
	return peer.NewClient(peer.ClientConfig{Logger: log, Clock: clock, HeartbeatTimeout: settings.Member.Timeout.Std()})
}

func newTable(settings config.Entry, self member.Self, clock clockwork.Clock) (*member.Table, error) {
	return member.NewTable(member.TableConfig{
		Clock: clock, Self: self, DeadAfter: settings.Member.Dead.Std(), FreshBound: settings.Lease.Freshness.Std(),
		Grace: settings.Member.CutOff.Std(), IsolationLimit: settings.Lease.Isolation.Std(),
	})
}

func newStream(
	settings config.Entry, self member.Self, platform *platf.Client, machine *state.Machine, table *member.Table,
	client *peer.Client, log *zap.Logger, clock clockwork.Clock,
) (*stream.Stream, error) {
	s := settings.Stream
	return stream.New(stream.Config{
		Logger: log, Clock: clock, Instance: self.Instance, Incarnation: self.Incarnation, Log: platform,
		StateMachine: machine, Peers: table, Relay: client,
		CommitIntervalPerMember: s.Commit.Std(), MaxCommitInterval: s.CommitMax.Std(),
		PollWait: s.ReadWait.Std(), MinRetryDelay: s.RetryFirst.Std(), MaxRetryDelay: s.RetryMax.Std(),
		FreshBound: settings.Lease.Freshness.Std(), Retention: s.Retention.Std(), SnapshotRecords: s.SnapshotRecords,
		MaxQueuedOps: s.Pending,
	})
}

func newMembers(
	settings config.Entry, table *member.Table, recordStream *stream.Stream, client *peer.Client, platform *platf.Client,
	log *zap.Logger, clock clockwork.Clock,
) (*member.Service, error) {
	return member.New(member.Config{
		Logger: log, Clock: clock, Table: table, Stream: recordStream, HeartbeatClient: client, Lister: platform,
		HeartbeatInterval: settings.Member.Beat.Std(),
	})
}

func newOnce(
	settings config.Entry, self member.Self, client *peer.Client, links *links.Links, log *zap.Logger,
	clock clockwork.Clock,
) (*once.Service, error) {
	return once.New(once.Config{
		Self: onceMember(self.Instance, self.Incarnation, self.PeerAddress), Peers: client, Clock: clock, Log: log,
		Retention: settings.Once.Kept.Std(), Validity: settings.Once.Issued.Std(), Capacity: settings.Once.Entries,
		MayDecide: links.MayDecide,
	})
}

func newRouter(
	settings config.Entry, platform *platf.Client, endpoint *ephttp.Client, claims *once.Service,
	members *member.Service, machine *state.Machine, checker *invar.Checker, log *zap.Logger, clock clockwork.Clock,
) (*route.Router, error) {
	return route.New(route.Config{
		Instance: settings.Instance, DataCentre: settings.DataCentre, Endpoint: endpoint, Lister: platform,
		Claims: claims, Clock: clock, Log: log, Invariants: checker, LocalOnly: members.LocalOnly,
		QueueLimit: settings.Route.Queue, RefreshInterval: settings.Route.List.Std(), Share: shareOf(machine),
	})
}

func shareOf(machine *state.Machine) func(model.TeamID) float64 {
	return func(id model.TeamID) float64 {
		set, _ := machine.Declarations()
		if team, ok := set.Team(id); ok {
			return team.Share
		}
		return 0
	}
}

func newPeerServer(
	settings config.Entry, members *member.Service, recordStream *stream.Stream, claims *once.Service, log *zap.Logger,
) (*peer.Server, error) {
	listener, err := accept.Listen(settings.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	return peer.NewServer(peer.ServerConfig{
		Logger: log, Listener: listener, Heartbeats: members, Stream: recordStream, Requests: claims,
	})
}

func newPlacer(
	settings config.Entry, recordStream *stream.Stream, links *links.Links, machine *state.Machine,
	checker *invar.Checker, log *zap.Logger, clock clockwork.Clock,
) (*sched.Placer, error) {
	return sched.New(sched.Config{
		DataCentre: settings.DataCentre, RoundInterval: settings.Sched.Round.Std(), MaxBacklog: settings.Sched.Backlog.Std(),
		TaskTTL: settings.Lease.Task.Std(),
		Policy: policy.Config{
			QuarantineFailures: settings.Sched.QuarantineFailures, QuarantineJobs: settings.Sched.QuarantineJobs,
			QuarantineFirst: settings.Sched.QuarantineFirst.Std(), QuarantineMax: settings.Sched.QuarantineMax.Std(),
		},
	}, sched.Deps{
		Feed: recordStream.Subscribe(), Submit: recordStream, Links: links, View: machine, Invariants: checker,
		Clock: clock, Log: log,
	})
}

func newLeases(
	settings config.Entry, self member.Self, platform *platf.Client, links *links.Links, recordStream *stream.Stream,
	placer *sched.Placer, log *zap.Logger, clock clockwork.Clock,
) (*lease.Manager, error) {
	manager, err := lease.New(lease.Config{
		Instance: self.Instance, Incarnation: self.Incarnation, DataCentre: settings.DataCentre,
		TTL: settings.Lease.Worker.Std(), RenewInterval: settings.Lease.Renew.Std(), TaskTTL: settings.Lease.Task.Std(),
		Freshness: settings.Lease.Freshness.Std(), Margin: settings.Lease.Margin.Std(),
	}, lease.Deps{
		Workers: platform, List: platform, Links: links, Submit: recordStream, Handler: placer, Clock: clock, Log: log,
	})
	if err != nil {
		return nil, err
	}
	placer.SetLeases(manager)
	return manager, nil
}

func newPulls(
	recordStream *stream.Stream, members *member.Service, log *zap.Logger, clock clockwork.Clock,
) (*pulls.LeaseMonitor, error) {
	return pulls.New(pulls.Config{
		Feed: recordStream.Subscribe(), Submitter: recordStream, IsElected: members.IsElected, Clock: clock, Log: log,
	})
}

func newFront(
	settings config.Entry, router *route.Router, claims *once.Service, recordStream *stream.Stream,
	machine *state.Machine, health *health, log *zap.Logger,
) (*front.Server, error) {
	return front.New(front.Config{
		Address: settings.CallerAddress, Router: router, Issuer: claims, Submitter: recordStream, View: machine,
		Connectivity: health, NotRecorded: stream.ErrNotRecorded, Log: log, SubmitTimeout: submitTimeout,
	})
}

// submitTimeout bounds how long a client waits for its operations to be recorded; it covers a failover to another relay.
const submitTimeout = 5 * time.Second
