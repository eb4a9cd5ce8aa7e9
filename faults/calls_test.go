package faults

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// callTimeout is longer than any call takes that the system answers at all.
	callTimeout = 15 * time.Second
	// patience bounds waits for which the design names no bound; nothing is measured by it.
	patience = 60 * time.Second
	pollTick = 50 * time.Millisecond
)

// Outcomes of calls that were not answered.
const (
	notRun      = "not-run"
	unknown     = "unknown"
	conflict    = "conflict"
	noAnswer    = "no-answer"
	answeredYes = "answered"
)

// answer is what a caller got for a call.
type answer struct {
	status  int
	outcome string
	body    []byte
	err     error
}

// failure is the body of a call that was not answered.
type failure struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
}

// client opens a connection for each call, so that no call fails because of an earlier one.
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
	out := answer{status: response.StatusCode, outcome: answeredYes, body: data}
	var refused failure
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &refused) == nil {
		out.outcome = refused.Outcome
	}
	return out
}

// fetch reads JSON and reports whether that worked.
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

// within polls until the condition holds and fails the test after the bound.
func within(t *testing.T, bound time.Duration, what string, holds func() bool) {
	t.Helper()
	if !eventually(bound, holds) {
		t.Fatalf("not within %s: %s", bound, what)
	}
}

func eventually(bound time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); time.Sleep(pollTick) {
		if holds() {
			return true
		}
	}
	return holds()
}
