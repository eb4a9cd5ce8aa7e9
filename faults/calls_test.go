package faults

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// callTimeout is longer than the longest time after which the system answers a call.
	callTimeout = 15 * time.Second
	// waitLimit bounds waits for which the design states no time limit; it is not an assertion about the system.
	waitLimit    = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Outcomes of calls. After unknown, and after noAnswer (no answer at all), the call may have taken effect.
const (
	notRun   = "not-run"
	unknown  = "unknown"
	noAnswer = "no-answer"
	answered = "answered"
)

// answer is the answer to a call, or the error if there was none.
type answer struct {
	status  int
	outcome string
	body    []byte
	err     error
}

// failure is the body of an answer that reports a failure.
type failure struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
}

// client opens a new connection for each call, so that a connection that an earlier call broke affects no other call.
var client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func call(from *http.Client, method, url string, headers map[string]string, body []byte) answer {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return answer{outcome: noAnswer, err: err}
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := from.Do(request)
	if err != nil {
		return answer{outcome: noAnswer, err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{status: response.StatusCode, outcome: noAnswer, err: err}
	}
	out := answer{status: response.StatusCode, outcome: answered, body: data}
	var refused failure
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &refused) == nil {
		out.outcome = refused.Outcome
	}
	return out
}

// fetch gets a URL, decodes the JSON answer and reports whether that succeeded.
func fetch(url string, headers map[string]string, into any) bool {
	got := call(client, http.MethodGet, url, headers, nil)
	return got.status == http.StatusOK && json.Unmarshal(got.body, into) == nil
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(value, "", "  ")
	assert.NilError(t, err)
	return data
}

// within polls until the condition holds, and fails the test if it doesn't within the bound.
func within(t *testing.T, bound time.Duration, what string, holds func() bool) {
	t.Helper()
	if !eventually(bound, holds) {
		t.Fatalf("not within %s: %s", bound, what)
	}
}

func eventually(bound time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return true
		}
	}
	return holds()
}

// forEachParallel calls do for each index below count, with up to parallel calls at a time.
func forEachParallel(count, parallel int, do func(i int)) {
	var group sync.WaitGroup
	for worker := range parallel {
		group.Go(func() {
			for i := worker; i < count; i += parallel {
				do(i)
			}
		})
	}
	group.Wait()
}

// work is the body of a request: what the endpoint has to do.
type work struct {
	ID     string `json:"request-id"`
	WorkMS int    `json:"work-ms"`
}

var idempotentHeader = map[string]string{"Idempotent": "true"}

// request sends a request. The endpoints' audit counts the runs of each work ID.
func request(from *http.Client, e *entry, class string, w work, headers map[string]string) answer {
	body, err := json.Marshal(w)
	if err != nil {
		return answer{outcome: noAnswer, err: err}
	}
	return call(from, http.MethodPost, e.caller+"/v1/requests/"+class, headers, append(body, '\n'))
}

// issue returns request IDs issued by an entry instance.
func issue(t *testing.T, e *entry, count int) []string {
	t.Helper()
	var out struct {
		IDs []string `json:"request-ids"`
	}
	got := call(client, http.MethodPost, fmt.Sprintf("%s/v1/request-ids?count=%d", e.caller, count), nil, nil)
	assert.Equal(t, got.status, http.StatusOK, string(got.body))
	assert.NilError(t, json.Unmarshal(got.body, &out))
	assert.Equal(t, len(out.IDs), count)
	return out.IDs
}
