package load

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"arbutuswing.example/caller/internal/setup"
)

// request is one request of the mix.
type request struct {
	// name is the same for all tries; the endpoints count runs under it.
	name       string
	mix        setup.Mix
	idempotent bool
	issued     bool
	body       []byte
	want       []byte
}

// wish is the first line of a body; it tells the endpoints' stand-in what to do.
type wish struct {
	Request string `json:"request-id"`
	WorkMS  int64  `json:"work-ms"`
	Bytes   int    `json:"answer-bytes,omitempty"`
}

// draw makes request number n of a run; the same seed gives the same request, up to the run's name.
func draw(cfg setup.Requests, seed int64, run string, n int) request {
	random := rand.New(rand.NewPCG(uint64(seed), uint64(n)))
	mix := pick(cfg.Mix, random)
	r := request{
		name: fmt.Sprintf("%s-%d", run, n), mix: mix, idempotent: random.Float64() < mix.Idempotent,
		issued: random.Float64() < cfg.Issued,
	}
	work := mix.WorkMin.Std() + rand64(random, mix.WorkMax.Std()-mix.WorkMin.Std())
	size := int(rand64(random, time.Duration(mix.AnswerMax)))
	line, err := json.Marshal(wish{Request: r.name, WorkMS: work.Milliseconds(), Bytes: size})
	if err != nil {
		// A struct of a string and numbers always encodes.
		panic(err)
	}
	payload := make([]byte, rand64(random, time.Duration(mix.BodyMax)))
	for i := range payload {
		payload[i] = byte(random.Uint32())
	}
	r.body = append(append(line, '\n'), payload...)
	r.want = expected(r.body, size)
	return r
}

func rand64(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit) + 1))
}

func pick(mixes []setup.Mix, random *rand.Rand) setup.Mix {
	total := 0.0
	for _, mix := range mixes {
		total += mix.Weight
	}
	point := random.Float64() * total
	for _, mix := range mixes {
		if point -= mix.Weight; point < 0 {
			return mix
		}
	}
	return mixes[len(mixes)-1]
}

// expected is the answer that the endpoints' stand-in gives: the body, or its SHA-256 repeated up to a size.
func expected(body []byte, size int) []byte {
	if size == 0 {
		return body
	}
	sum := sha256.Sum256(body)
	text := hex.EncodeToString(sum[:])
	return bytes.Repeat([]byte(text), size/len(text)+1)[:size]
}
