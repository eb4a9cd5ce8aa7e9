package daemon

import (
	"os"
	"strconv"
	"time"

	"go.uber.org/dig"
	"go.uber.org/zap"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/inbox"
	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/logs"
	"arbutuswing.example/internal/mirror"
	"arbutuswing.example/internal/owner"
	"arbutuswing.example/internal/peers"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/uptime"
	adapt "arbutuswing.example/platform"
)

const (
	// ownerGroup is the consumer group in the store whose members may become the owner of jobs.
	ownerGroup = "owners"
	// configurationWait is how long a read of the configuration waits for a change.
	configurationWait = 2 * time.Second
	// fullStrengthLinkMbps is the bandwidth in Mbit/s from which on a node's link doesn't limit its work as owner.
	fullStrengthLinkMbps = 50
	// repeatShare is the share of the retention, as its divisor, for which a node repeats an append of accepted jobs.
	repeatShare = 4
	// registryPause is the pause between reads of the workers' entries, which change all the time.
	registryPause = 250 * time.Millisecond
)

// components holds the components of a node that the daemon runs and stops.
type components struct {
	dig.In

	Settings  config.Node
	Log       *zap.Logger
	Buffer    *logs.Buffer
	View      *view
	Inbox     *inbox.Inbox
	Directory *owner.Directory
	Owner     *owner.Owner
	Peers     *peers.Server
	Ingress   *adapt.Ingress
	Metrics   *metricsServer
}

// newContainer returns a container that constructs the components from the settings.
func newContainer(settings config.Node) (*dig.Container, error) {
	c := dig.New()
	providers := []any{
		func() config.Node { return settings },
		func() *logs.Buffer { return logs.NewBuffer(os.Stdout) },
		func(s config.Node, b *logs.Buffer) (*zap.Logger, error) {
			log, err := logs.New(b, s.LogLevel)
			if err != nil {
				return nil, err
			}
			return log.With(zap.String("node", s.Node)), nil
		},
		newStore,
		func(store *ledger.InstrumentedStore) ledger.Store { return store },
		func() agent.Workers { return agent.NewInstrumentedWorkers(adapt.NewWorkers()) },
		newAdvisor,
		newNodeInfo,
		peers.NewClient,
		newView,
		newInbox,
		newDirectory,
		newOwner,
		newPeerServer,
		newIntake,
		newMetricsServer,
		func(in *intake.Intake, v *view) *adapt.Ingress { return adapt.NewIngress(in, v.ready) },
	}
	for _, provider := range providers {
		if err := c.Provide(provider); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func newStore(s config.Node) (*ledger.InstrumentedStore, error) {
	store, err := adapt.NewStore(s.StoreAddress)
	if err != nil {
		return nil, err
	}
	return ledger.NewInstrumentedStore(store), nil
}

// newNodeInfo describes this node to its peers, with a new boot ID and its strength as an owner.
func newNodeInfo(s config.Node) peers.NodeInfo {
	return peers.NodeInfo{
		Node: s.Node, Address: s.PeerAddress, DataCentre: s.DataCentre,
		BootID:   strconv.FormatInt(time.Now().UnixNano(), 36) + strconv.Itoa(os.Getpid()),
		Strength: s.Cores * min(1, s.LinkMbps/fullStrengthLinkMbps),
	}
}

func newAdvisor(s config.Node) (agent.Advisor, error) {
	if s.AdviceAddress == "" {
		return noAdvisor{}, nil
	}
	service, err := adapt.NewAdvisor(s.AdviceAddress)
	if err != nil {
		return nil, err
	}
	return agent.NewSerialAdvisor(service), nil
}

func newInbox(s config.Node, store ledger.Store, self peers.NodeInfo, log *zap.Logger) *inbox.Inbox {
	return inbox.New(inbox.Config{
		Store: store, Topic: owner.TopicInbox, Partition: owner.Partition, Producer: self.Node + "-" + self.BootID,
		RepeatLimit: s.Retention.Std() / repeatShare, Log: log,
	})
}

func newDirectory(store ledger.Store, self peers.NodeInfo, client *peers.Client, log *zap.Logger) *owner.Directory {
	return owner.NewDirectory(owner.DirectoryConfig{Store: store, Self: self, Group: ownerGroup, Client: client, Log: log})
}

func newOwner(
	s config.Node, self peers.NodeInfo, store ledger.Store, workers agent.Workers, advisor agent.Advisor, client *peers.Client,
	directory *owner.Directory, v *view, log *zap.Logger,
) *owner.Owner {
	o := owner.New(owner.Config{
		Self: self, Group: ownerGroup, Store: store, Workers: workers, Advisor: advisor, Peers: client, Directory: directory,
		Configuration: v.Configuration, Registry: newRegistry(store, log), Log: log,
		Shard: shard.Config{
			Lease: min(s.WorkerLease.Std(), s.WorkerLeaseMax.Std()), MaxLease: s.WorkerLeaseMax.Std(),
			RenewLimit: s.RenewLimit.Std(), KillGrace: s.KillGrace.Std(), RestoreTime: s.RestoreTime.Std(),
			GangTimeout: s.GangTimeout.Std(), Retention: s.Retention.Std(),
		},
		Uptime: uptime.Now,
	})
	v.setOwner(o)
	return o
}

func newPeerServer(s config.Node, o *owner.Owner, advisor agent.Advisor, log *zap.Logger) *peers.Server {
	return peers.NewServer(peers.ServerConfig{Address: s.PeerAddress, Owner: o, Advisor: advisor, Log: log})
}

func newIntake(v *view, in *inbox.Inbox, directory *owner.Directory, log *zap.Logger) *intake.Intake {
	return intake.New(intake.Config{Configuration: v.Configuration, Records: in, Owner: directory, Log: log})
}

func newView(store *ledger.InstrumentedStore, log *zap.Logger) *view {
	v := &view{log: log, store: store}
	v.configurationMirror = mirror.New(mirror.Config{
		Store: store, Topic: adapt.TopicOperators, Wait: configurationWait, OnChange: v.applyConfiguration, Log: log,
	})
	return v
}

// newRegistry returns a function that creates a mirror of the workers' entries; only the owner runs one.
func newRegistry(store ledger.Store, log *zap.Logger) func(owner.RegistryEvents) owner.Runner {
	return func(events owner.RegistryEvents) owner.Runner {
		registry := newRegistryView(log)
		return mirror.New(mirror.Config{
			Store: store, Topic: adapt.TopicWorkers, Pause: registryPause, Log: log,
			OnChange: func(records map[string][]byte) { events.Changed(registry.update(records)) },
			OnRead:   events.Read,
		})
	}
}
