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

// envelopeSizes are the numbers of operations in an envelope.
var envelopeSizes = []int{1, 20, 50, 100}

// codec measures the bytes of operations and the time to encode and decode them.
func codec(Config) ([]fits.Series, error) {
	r, err := rigs.New(rigs.Size{Workers: 100, Teams: 10})
	if err != nil {
		return nil, err
	}
	makers := []struct {
		name string
		op   func(i int) record.Op
	}{
		{"taken", func(i int) record.Op { return r.Taken(r.Size.Spec(i, 4).ID, i%4, 1, i) }},
		{"ended", func(i int) record.Op { return r.Ended(r.Size.Spec(i, 4).ID, i%4, 1, i, model.OutcomeSucceeded) }},
		{"job-accepted", func(i int) record.Op {
			return record.JobAccepted{Spec: r.Size.Spec(i, 4), Key: rigs.Key(i % 10), Submitted: time.Now().UnixNano()}
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
	for _, m := range makers {
		series, err := codecOf(r, m.name, m.op)
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
		Name: rigs.Team(i), Organisation: "north", Share: 2, Limit: decl.Limit{Tasks: 200}, Keys: []model.KeyHash{rigs.Key(i)},
	}}}})
	if err != nil {
		panic(err) // The value above always encodes.
	}
	return record.Change{
		ID: fmt.Sprintf("change-%06d", i), Base: model.Offset(1_000_000 + i), Author: "operator", Reason: "more work tonight",
		Contents: contents,
	}
}

func codecOf(r *rigs.Rig, name string, op func(int) record.Op) ([]fits.Series, error) {
	var size, packed, encode, decode []fits.Point
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("making a compressor: %w", err)
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
		packed = append(packed, fits.Point{X: x, Y: float64(len(compressor.EncodeAll(data, nil)))})
		took, err := perCall(func() error { _, err := record.Encode(env); return err })
		if err != nil {
			return nil, err
		}
		encode = append(encode, fits.Point{X: x, Y: took})
		if took, err = perCall(func() error { _, err := record.Decode(data); return err }); err != nil {
			return nil, err
		}
		decode = append(decode, fits.Point{X: x, Y: took})
	}
	per := name + " operation"
	return []fits.Series{
		fits.New("envelope of "+name+", encoded", per, "bytes", size),
		fits.New("envelope of "+name+", encoded and compressed with zstd (not done today)", per, "bytes", packed),
		fits.New("encoding an envelope of "+name, per, "us", encode),
		fits.New("decoding an envelope of "+name, per, "us", decode),
	}, nil
}

const (
	callRuns  = 5
	callBatch = 100
)

// perCall returns the shortest mean time of a call in microseconds, over batches of calls.
func perCall(call func() error) (float64, error) {
	best, err := meter.Best(callRuns, func() (time.Duration, error) {
		began := time.Now()
		for range callBatch {
			if err := call(); err != nil {
				return 0, err
			}
		}
		return time.Since(began), nil
	})
	return micros(best) / callBatch, err
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
