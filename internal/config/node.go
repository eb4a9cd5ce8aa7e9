package config

import "arbutuswing.example/internal/model"

// Node holds the settings of aw-node.
type Node struct {
	// Node is the node's name on the platform.
	Node string `json:"node" jsonschema:"required"`
	// DataCentre is the data centre that the node runs in.
	DataCentre model.DataCentreID `json:"data-centre" jsonschema:"required"`
	// ClientAddress is the IP:port on which the node serves clients.
	ClientAddress string `json:"client-address" jsonschema:"required"`
	// ReadinessAddress is the IP:port of the node's readiness check, which the platform calls.
	ReadinessAddress string `json:"readiness-address" jsonschema:"required"`
	// PeerAddress is the IP:port on which other nodes reach this one.
	PeerAddress string `json:"peer-address" jsonschema:"required"`
	// MetricsAddress is the IP:port on which metrics are served; if it is empty, none are served.
	MetricsAddress string `json:"metrics-address,omitempty"`
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string `json:"store-address" jsonschema:"required"`
	// AdviceAddress is the IP:port of the placement advice service; it may be empty if no queue requires placement advice.
	AdviceAddress string `json:"advice-address,omitempty"`
	// Cores is the number of processor cores available to the node. A much weaker node doesn't own jobs while a stronger
	// one can.
	Cores float64 `json:"cores,omitempty"`
	// LinkMbps is the bandwidth of the node's network link in Mbit/s.
	LinkMbps float64 `json:"link-mbps,omitempty"`
	// MemoryMiB is the memory available to the node, in MiB. It collects garbage more often as it gets near three quarters of
	// it.
	MemoryMiB int64 `json:"memory-mib,omitempty"`
	// LogLevel is the lowest level of the events that are logged.
	LogLevel string `json:"log-level,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error"`
	// WorkerLease is how long a worker's lease lasts after each renewal. It should outlast the usual interruption of the
	// connection between two instances.
	WorkerLease model.Duration `json:"worker-lease,omitempty"`
	// WorkerLeaseMax is the longest lease that a worker accepts.
	WorkerLeaseMax model.Duration `json:"worker-lease-max,omitempty"`
	// RenewLimit is how long an owner continues to renew leases after the begin of the last call that proved its ownership.
	RenewLimit model.Duration `json:"renew-limit,omitempty"`
	// KillGrace is how long a stopped run may take to end on its worker.
	KillGrace model.Duration `json:"kill-grace,omitempty"`
	// RestoreTime is how long a run takes to resume from its checkpoint.
	RestoreTime model.Duration `json:"restore-time,omitempty"`
	// GangTimeout is how long a gang member waits on its worker for the other members before it ends.
	GangTimeout model.Duration `json:"gang-timeout,omitempty"`
	// Retention is how long the state of an ended job can be queried.
	Retention model.Duration `json:"retention,omitempty"`
	// StopGrace is the time that the platform leaves a node between the request to stop and the kill.
	StopGrace model.Duration `json:"stop-grace,omitempty"`
}

// WithDefaults returns the settings with their default values.
func (n Node) WithDefaults() Node {
	n.Cores = 1
	n.LinkMbps = 1000
	n.MemoryMiB = 512
	n.LogLevel = "info"
	n.WorkerLease = seconds(8)
	n.WorkerLeaseMax = seconds(10)
	// Together with WorkerLease, this outlasts the usual outage of the store.
	n.RenewLimit = seconds(3)
	n.KillGrace = ms(400)
	n.RestoreTime = ms(250)
	n.GangTimeout = seconds(3)
	n.Retention = seconds(120)
	n.StopGrace = seconds(6)
	return n
}

// Check validates the settings and returns their problems.
func (n Node) Check() []Problem {
	c := &Checker{}
	c.Require(n.Node != "", "node", "must be set")
	c.Require(n.DataCentre != "", "data-centre", "must be set")
	c.Address("client-address", n.ClientAddress, true)
	c.Address("readiness-address", n.ReadinessAddress, true)
	c.Address("peer-address", n.PeerAddress, false)
	c.Address("store-address", n.StoreAddress, false)
	if n.MetricsAddress != "" {
		c.Address("metrics-address", n.MetricsAddress, true)
	}
	if n.AdviceAddress != "" {
		c.Address("advice-address", n.AdviceAddress, false)
	}
	c.Require(n.Cores > 0, "cores", "must be greater than 0")
	c.Require(n.LinkMbps > 0, "link-mbps", "must be greater than 0")
	c.Require(n.MemoryMiB > 0, "memory-mib", "must be greater than 0")
	c.Level("log-level", n.LogLevel)
	for _, d := range []struct {
		path  string
		value model.Duration
	}{
		{"worker-lease", n.WorkerLease},
		{"worker-lease-max", n.WorkerLeaseMax},
		{"renew-limit", n.RenewLimit},
		{"kill-grace", n.KillGrace},
		{"restore-time", n.RestoreTime},
		{"gang-timeout", n.GangTimeout},
		{"retention", n.Retention},
		{"stop-grace", n.StopGrace},
	} {
		c.Require(d.value > 0, d.path, "must be greater than 0")
	}
	return c.Problems()
}
