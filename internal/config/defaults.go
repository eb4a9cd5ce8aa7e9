package config

import (
	"time"

	"arbutuswing.example/internal/model"
)

// WithDefaults returns the settings with the default values of docs/design.md.
func (e Entry) WithDefaults() Entry {
	e.LogLevel = "info"
	e.Lease = defaultLease()
	e.Stream = defaultStream()
	e.Member = Member{
		Beat: ms(500), Timeout: ms(400), Dead: seconds(2),
		// 3 s is as long as the worker leases that a placer holds. Changes of data centres and keys have to take effect at a
		// cut-off instance within 5 s, which is lease.freshness (2 s) plus this value.
		CutOff: seconds(3),
	}
	e.Route = defaultRoute()
	e.Once = Once{Issued: minutes(10), Kept: seconds(60), Entries: 200_000}
	e.Sched = Sched{
		Round: ms(20), Backlog: seconds(60), QuarantineFailures: 5, QuarantineJobs: 3,
		QuarantineFirst: minutes(1), QuarantineMax: minutes(60),
	}
	e.Shutdown = Shutdown{Grace: seconds(30)}
	return e
}

func defaultLease() Lease {
	return Lease{
		Worker: seconds(3), Renew: seconds(1), Task: seconds(20), Freshness: seconds(2), Margin: seconds(3),
		Isolation: minutes(90),
	}
}

func defaultStream() Stream {
	return Stream{
		Commit: ms(10), CommitMax: ms(500), ReadWait: ms(500), RetryFirst: ms(20), RetryMax: ms(500),
		Retention: minutes(60), SnapshotRecords: 20_000, Pending: 20_000,
	}
}

func defaultRoute() Route {
	return Route{
		Connections: 60, Queue: 4_000, List: seconds(1),
	}
}

func ms(n int) model.Duration      { return model.Duration(time.Duration(n) * time.Millisecond) }
func seconds(n int) model.Duration { return model.Duration(time.Duration(n) * time.Second) }
func minutes(n int) model.Duration { return model.Duration(time.Duration(n) * time.Minute) }
