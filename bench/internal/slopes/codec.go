package slopes

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/klauspost/compress/zstd"

	"arbutuswing.example/bench/internal/fits"
	"arbutuswing.example/bench/internal/meter"
	"arbutuswing.example/bench/internal/rigs"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// envelopeSizes holds the measured numbers of operations per envelope.
var envelopeSizes = []int{1, 20, 50, 100}

// codec measures the encoded size of operations and the time to encode and decode them.
func codec(Config) ([]fits.Series, error) {
	r, err := rigs.New(rigs.Size{Workers: 100, Teams: 10})
	if err != nil {
		return nil, err
	}
	operations := []struct {
		name string
		op   func(i int) record.Op
	}{
		{"taken", func(i int) record.Op { return r.BindOp(r.Size.Spec(i, 4).ID, i%4, 1, i) }},
		{"ended", func(i int) record.Op { return r.EndOp(r.Size.Spec(i, 4).ID, i%4, 1, i, model.OutcomeSucceeded) }},
		{"job-accepted", func(i int) record.Op {
			return record.JobAccepted{Spec: r.Size.Spec(i, 4), Key: rigs.TeamKeyHash(i % 10), Submitted: time.Now().UnixNano()}
		}},
		{"change", change},
		{"member-joined", func(i int) record.Op {
			return record.MemberJoined{
				Instance: model.InstanceID(fmt.Sprintf("entry-dc01-%d", i)), Incarnation: 1_780_000_000_000_000_000, DataCentre: "dc01",
				PeerAddress: "10.1.2.3:7002", AdminAddress: "10.1.2.3:7001",
			}
		}},
		{"worker-seen", func(i int) record.Op { return r.Size.Worker(i) }},
	}
	var out []fits.Series
	for _, m := range operations {
		series, err := measureCodec(r, m.name, m.op)
		if err != nil {
			return nil, err
		}
		out = append(out, series...)
	}
	return out, nil
}

// change returns a change of a team's share, the most frequent kind of change.
func change(i int) record.Op {
	contents, err := json.Marshal(decl.Patch{Put: decl.Set{Teams: []decl.Team{{
		Name: rigs.Team(i), Organisation: "north", Share: 2, Limit: decl.Limit{Tasks: 200},
		Keys: []model.KeyHash{rigs.TeamKeyHash(i)},
	}}}})
	if err != nil {
		panic(err) // Unreachable: the value above always encodes.
	}
	return record.Change{
		ID: fmt.Sprintf("change-%06d", i), Base: model.Offset(1_000_000 + i), Author: "operator", Reason: "more work tonight",
		Contents: contents,
	}
}

func measureCodec(r *rigs.Fixture, name string, op func(int) record.Op) ([]fits.Series, error) {
	var size, compressed, encode, decode []fits.Point
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("creating a compressor: %w", err)
	}
	for _, n := range envelopeSizes {
		ops := make([]record.Op, n)
		for i := range ops {
			ops[i] = op(i)
		}
		env := r.Envelope(ops...)
		data, err := record.Encode(env)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		size = append(size, fits.Point{X: x, Y: float64(len(data))})
		compressed = append(compressed, fits.Point{X: x, Y: float64(len(compressor.EncodeAll(data, nil)))})
		took, err := timePerCall(func() error { _, err := record.Encode(env); return err })
		if err != nil {
			return nil, err
		}
		encode = append(encode, fits.Point{X: x, Y: took})
		if took, err = timePerCall(func() error { _, err := record.Decode(data); return err }); err != nil {
			return nil, err
		}
		decode = append(decode, fits.Point{X: x, Y: took})
	}
	per := name + " operation"
	return []fits.Series{
		fits.New("envelope of "+name+", encoded", per, "bytes", size),
		fits.New("envelope of "+name+", encoded and compressed with zstd (not done today)", per, "bytes", compressed),
		fits.New("encoding an envelope of "+name, per, "us", encode),
		fits.New("decoding an envelope of "+name, per, "us", decode),
	}, nil
}

const (
	callBatches   = 5
	callsPerBatch = 100
)

// timePerCall returns the mean time of a call in microseconds, in the fastest of callBatches batches.
func timePerCall(call func() error) (float64, error) {
	best, err := meter.Fastest(callBatches, func() (time.Duration, error) {
		began := time.Now()
		for range callsPerBatch {
			if err := call(); err != nil {
				return 0, err
			}
		}
		return time.Since(began), nil
	})
	return microseconds(best) / callsPerBatch, err
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
