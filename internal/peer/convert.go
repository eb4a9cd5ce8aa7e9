package peer

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peerpb"
	"arbutuswing.example/internal/ports"
)

func senderToWire(s Sender) *peerpb.Sender {
	return &peerpb.Sender{Instance: string(s.Instance), Incarnation: int64(s.Incarnation)}
}

func senderFromWire(s *peerpb.Sender) Sender {
	return Sender{
		Instance:    model.InstanceID(s.GetInstance()),
		Incarnation: model.Incarnation(s.GetIncarnation()),
	}
}

func statusToWire(s Status) *peerpb.Status {
	return &peerpb.Status{
		Sender: senderToWire(s.Sender), DataCentre: string(s.DataCentre), PeerAddress: s.PeerAddress,
		Applied: int64(s.Applied), LogAnswers: s.LogAnswers, Ready: s.Ready, Load: s.Load, Leaving: s.Leaving,
		Age: int64(s.Age), CurrentAge: int64(s.CurrentAge),
	}
}

func statusFromWire(s *peerpb.Status) Status {
	return Status{
		Sender: senderFromWire(s.GetSender()), DataCentre: model.DataCentreID(s.GetDataCentre()),
		PeerAddress: s.GetPeerAddress(), Applied: model.Offset(s.GetApplied()), LogAnswers: s.GetLogAnswers(),
		Ready: s.GetReady(), Load: s.GetLoad(), Leaving: s.GetLeaving(), Age: time.Duration(max(s.GetAge(), 0)),
		CurrentAge: time.Duration(max(s.GetCurrentAge(), int64(NeverCurrent))),
	}
}

func answerToWire(a HeartbeatAnswer) *peerpb.BeatResponse {
	out := &peerpb.BeatResponse{Status: statusToWire(a.Status)}
	for _, neighbour := range a.Neighbours {
		out.Neighbours = append(out.Neighbours, statusToWire(neighbour))
	}
	return out
}

func answerFromWire(a *peerpb.BeatResponse) HeartbeatAnswer {
	out := HeartbeatAnswer{Status: statusFromWire(a.GetStatus())}
	for _, neighbour := range a.GetNeighbours() {
		out.Neighbours = append(out.Neighbours, statusFromWire(neighbour))
	}
	return out
}

func batchToWire(b ports.Batch) *peerpb.ReadLogResponse {
	out := &peerpb.ReadLogResponse{First: int64(b.First), Next: int64(b.Next)}
	for _, rec := range b.Records {
		out.Records = append(out.Records, &peerpb.Record{Offset: int64(rec.Offset), Data: rec.Data})
	}
	return out
}

func batchFromWire(b *peerpb.ReadLogResponse) ports.Batch {
	out := ports.Batch{First: model.Offset(b.GetFirst()), Next: model.Offset(b.GetNext())}
	for _, rec := range b.GetRecords() {
		out.Records = append(out.Records, ports.Record{Offset: model.Offset(rec.GetOffset()), Data: rec.GetData()})
	}
	return out
}
