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
	// name is the same for all tries; the endpoints count runs by it.
	name       string
	mix        setup.Mix
	idempotent bool
	// issued is set if an entry instance issues the request ID.
	issued bool
	body   []byte
	// want is the expected answer.
	want []byte
}

// requestOptions is the first line of a request body; it tells the endpoints' stand-in how to answer.
type requestOptions struct {
	Request string `json:"request-id"`
	WorkMS  int64  `json:"work-ms"`
	Bytes   int    `json:"answer-bytes,omitempty"`
}

// drawRequest generates request number n of a run; the same seed and number give the same request apart from the name
// of the run.
func drawRequest(cfg setup.Requests, seed int64, run string, n int) request {
	random := rand.New(rand.NewPCG(uint64(seed), uint64(n)))
	mix := drawMix(cfg.Mix, random)
	r := request{
		name: fmt.Sprintf("%s-%d", run, n), mix: mix, idempotent: random.Float64() < mix.Idempotent,
		issued: random.Float64() < cfg.Issued,
	}
	work := mix.WorkMin.Std() + drawUpTo(random, mix.WorkMax.Std()-mix.WorkMin.Std())
	size := int(drawUpTo(random, time.Duration(mix.AnswerMax)))
	line, err := json.Marshal(requestOptions{Request: r.name, WorkMS: work.Milliseconds(), Bytes: size})
	if err != nil {
		// Unreachable: a struct of a string and numbers always encodes.
		panic(err)
	}
	payload := make([]byte, drawUpTo(random, time.Duration(mix.BodyMax)))
	for i := range payload {
		payload[i] = byte(random.Uint32())
	}
	r.body = append(append(line, '\n'), payload...)
	r.want = expected(r.body, size)
	return r
}

func drawUpTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit) + 1))
}

func drawMix(mixes []setup.Mix, random *rand.Rand) setup.Mix {
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

// expected returns the answer of the endpoints' stand-in: the body, or its SHA-256 in hexadecimal repeated up to size
// bytes.
func expected(body []byte, size int) []byte {
	if size == 0 {
		return body
	}
	sum := sha256.Sum256(body)
	text := hex.EncodeToString(sum[:])
	return bytes.Repeat([]byte(text), size/len(text)+1)[:size]
}
