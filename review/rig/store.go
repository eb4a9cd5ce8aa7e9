package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as the settings in DEPLOY.md give them.
const (
	recordBytes  = 262144
	requestBytes = 2097152
	partitions   = 24
	pageItems    = 500
	keptAnswers  = 5
)

// store is a stand-in of the platform's log, as PROTOCOL.md describes it: keyed topics, producers with epochs, groups.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	logs    map[string]*partition
	groups  map[string]*group
	rec     *recorder
	addr    string
	// onAppend, if set, is called for each record that a node of the system appends.
	onAppend func(topic, key string, value []byte)
}

type partition struct {
	records   [][]byte
	newest    map[string]int
	producers map[string]*producer
}

type producer struct {
	epoch   int64
	last    int64
	any     bool
	answers map[int64][]byte
}

type group struct {
	generation int64
	ttl        time.Duration
	members    map[string]time.Time
	holder     [partitions]string
	target     [partitions]string
}

func newStore(rec *recorder) (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{logs: map[string]*partition{}, groups: map[string]*group{}, rec: rec, addr: l.Addr().String()}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.readNewest)
	mux.HandleFunc("POST /v1/log-join", s.join)
	mux.HandleFunc("POST /v1/log-leave", s.leave)
	mux.HandleFunc("GET /v1/log-owners", s.owners)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.changed.Broadcast()
		}
	}()
	return s, nil
}

func (s *store) log(name string) *partition {
	p := s.logs[name]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producer{}}
		s.logs[name] = p
	}
	return p
}

func (p *partition) add(record []byte) (key string, value []byte) {
	at := len(p.records)
	p.records = append(p.records, record)
	if len(record) == 0 || int(record[0])+1 > len(record) {
		return "", nil
	}
	key, value = string(record[1:1+record[0]]), record[1+record[0]:]
	if len(value) == 0 {
		delete(p.newest, key)
	} else {
		p.newest[key] = at
	}
	return key, value
}

// put writes a record as the operator and the executors do.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log("keyed." + topic + "/0").add(append(append([]byte{byte(len(key))}, key...), data...))
	s.changed.Broadcast()
}

func answer(w http.ResponseWriter, status int, body any) []byte {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
	return data
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func logName(r *http.Request) string {
	return r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	var records [][]byte
	problem := ""
	if len(body) > requestBytes {
		problem = "request over request-bytes"
	}
	for rest := body; len(rest) > 0 && problem == ""; {
		if len(rest) < 4 || len(rest)-4 < int(binary.BigEndian.Uint32(rest)) {
			problem = "truncated record"
			break
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > recordBytes {
			problem = fmt.Sprintf("record of %d bytes, over record-bytes", n)
			break
		}
		records = append(records, rest[4:4+n])
		rest = rest[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if problem != "" {
		s.rec.logf("store answers 400 to an append to %s: %s", logName(r), problem)
		answer(w, http.StatusBadRequest, map[string]string{"error": problem})
		return
	}
	p := s.log(logName(r))
	name, epoch, sequence := r.URL.Query().Get("producer"), number(r, "epoch"), number(r, "sequence")
	if name != "" {
		pr := p.producers[name]
		if pr == nil {
			pr = &producer{answers: map[int64][]byte{}}
			p.producers[name] = pr
		}
		if epoch < pr.epoch {
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch > pr.epoch {
			*pr = producer{epoch: epoch, answers: map[int64][]byte{}}
		}
		if len(records) > 0 {
			if previous := pr.answers[sequence]; previous != nil {
				_, _ = w.Write(previous)
				return
			}
			if pr.any && sequence != pr.last+1 {
				answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": pr.last + 1})
				return
			}
			defer func() {
				pr.last, pr.any = sequence, true
				delete(pr.answers, sequence-keptAnswers)
			}()
			defer func(first int) {
				pr.answers[sequence], _ = json.Marshal(map[string]any{"offset": first, "end": len(p.records)})
			}(len(p.records))
		}
	}
	first := len(p.records)
	for _, record := range records {
		key, value := p.add(append([]byte(nil), record...))
		if s.onAppend != nil {
			s.onAppend(r.URL.Query().Get("topic"), key, value)
		}
	}
	s.changed.Broadcast()
	answer(w, http.StatusOK, map[string]any{"offset": first, "end": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from := int(number(r, "from"))
	limit := 1024 << 10
	if kb := number(r, "max-kb"); kb > 0 {
		limit = int(kb) << 10
	}
	until := time.Now().Add(time.Duration(min(number(r, "wait-ms"), 30000)) * time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	p := s.log(logName(r))
	for len(p.records) <= from && time.Now().Before(until) && r.Context().Err() == nil {
		s.changed.Wait()
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(p.records) && len(out) < limit; i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
		out = append(out, p.records[i]...)
	}
	s.mu.Unlock()
	_, _ = w.Write(out)
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, after := s.log(logName(r)), r.URL.Query().Get("after")
	keys := []string{}
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || size > 1<<20 {
			more = true
			break
		}
		record := p.records[p.newest[key]]
		value := record[1+len(key):]
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": p.newest[key]})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end": len(p.records)})
}

type memberBody struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl-ms"`
	Generation int64    `json:"generation"`
}

func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]time.Time{}, ttl: time.Second}
		s.groups[name] = g
	}
	for m, last := range g.members {
		if time.Since(last) > g.ttl {
			delete(g.members, m)
			g.regroup()
		}
	}
	return g
}

// regroup deals the partitions anew. A partition stays with a holder that is still a member until that member joins with
// the new generation.
func (g *group) regroup() {
	g.generation++
	members := []string{}
	for m := range g.members {
		members = append(members, m)
	}
	sort.Strings(members)
	for i := range g.target {
		g.target[i] = ""
		if len(members) > 0 {
			g.target[i] = members[i%len(members)]
		}
		if _, ok := g.members[g.holder[i]]; !ok {
			g.holder[i] = g.target[i]
		}
	}
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var body memberBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(body.Group)
	g.ttl = time.Duration(body.TTL) * time.Millisecond
	_, known := g.members[body.Member]
	g.members[body.Member] = time.Now()
	if !known {
		g.regroup()
	}
	rows := [][]any{}
	for i := range g.holder {
		if g.holder[i] == body.Member && g.target[i] != body.Member && body.Generation >= g.generation {
			g.holder[i] = g.target[i]
		}
		if g.holder[i] == body.Member && g.target[i] == body.Member {
			rows = append(rows, []any{body.Topics[0], i, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var body memberBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(body.Group)
	if _, known := g.members[body.Member]; known {
		delete(g.members, body.Member)
		g.regroup()
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	rows := [][]any{}
	for i, m := range g.holder {
		if m != "" {
			rows = append(rows, []any{"keyed.progress", i, m, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"owners": rows})
}
