package work

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"arbutuswing.example/internal/model"
)

// State is the state of a job as reported to its submitter.
type State string

// States of jobs.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }

// Binding is a run of a task that may exist on a worker.
type Binding struct {
	Run    int            `json:"run"`
	Worker model.WorkerID `json:"worker"`
	// Incarnation identifies the worker's process when the run was recorded: its start in milliseconds since 1970 by the worker's
	// clock. The run may have reached a later one.
	Incarnation int64 `json:"born"`
	// Settled tells that no start of the run was on its way when the run was recorded, and that none is sent any more. It is recorded
	// for queues without placement advice only, and earlier versions don't record it.
	Settled bool `json:"settled,omitempty"`
}

// TaskProgress is the recorded progress of a task; tasks without progress are omitted.
type TaskProgress struct {
	Occurrence int  `json:"occurrence,omitempty"`
	Stage      int  `json:"stage,omitempty"`
	Index      int  `json:"index,omitempty"`
	Done       bool `json:"done,omitempty"`
	// LastRun is the highest run number used so far.
	LastRun int `json:"last-run,omitempty"`
	// FailedRuns lists the runs that failed, so that a failure that is reported again to a later owner counts only once.
	FailedRuns []int     `json:"failed-runs,omitempty"`
	Bindings   []Binding `json:"bindings,omitempty"`
	// Settled tells that no start of a run that isn't bound any more was on its way, or could have brought a run to a worker that had
	// not reported since. It is recorded like that of a binding. If it isn't set, LateStartOn is the worker that these starts were
	// sent to, or empty if there may be several.
	Settled     bool           `json:"settled,omitempty"`
	LateStartOn model.WorkerID `json:"late-start-on,omitempty"`
	// Checkpoint is the latest checkpoint, as reported by the worker.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Progress is the recorded progress of a job; each record replaces the previous one with the same key. A large job has a
// record for each part of its tasks, so that no record grows beyond what the store accepts, and a main record without tasks.
type Progress struct {
	// Final is the final state, or empty while the job has none.
	Final State `json:"final,omitempty"`
	// Begun tells whether a task of the job has been started.
	Begun bool           `json:"begun,omitempty"`
	Tasks []TaskProgress `json:"tasks,omitempty"`
	// Split tells that the tasks are in records of their own. It is stored in place of the tasks, so that a version that
	// knows only whole records doesn't take the job for one without progress.
	Split bool `json:"-"`
}

// splitTasks stands for the tasks in a main record whose tasks are in records of their own.
const splitTasks = `"split"`

// Join returns the progress with that of another record of the same job added.
func (p Progress) Join(other Progress) Progress {
	p.Final, p.Begun, p.Split = cmp.Or(p.Final, other.Final), p.Begun || other.Begun, p.Split || other.Split
	p.Tasks = slices.Concat(p.Tasks, other.Tasks)
	return p
}

// WithoutCheckpoints returns the progress without the tasks' checkpoints.
func (p Progress) WithoutCheckpoints() Progress {
	p.Tasks = slices.Clone(p.Tasks)
	for i := range p.Tasks {
		p.Tasks[i].Checkpoint = ""
	}
	return p
}

// ProgressKey returns the key of the record that holds a part of a job's tasks, counted from 1, or of the main record for 0.
func ProgressKey(id model.JobID, part int) string {
	if part == 0 {
		return string(id)
	}
	return string(id) + partSeparator + strconv.Itoa(part)
}

// partSeparator separates a job's ID from the number of a part in a record's key; IDs don't contain it.
const partSeparator = "/"

// ParseProgressKey returns the job and the part that the key of a progress record names. It returns ErrInvalidProgress for a
// key that ProgressKey doesn't return.
func ParseProgressKey(key string) (model.JobID, int, error) {
	id, number, found := strings.Cut(key, partSeparator)
	if !found {
		return model.JobID(id), 0, nil
	}
	part, err := strconv.Atoi(number)
	if err != nil || part < 1 || ProgressKey(model.JobID(id), part) != key {
		return "", 0, fmt.Errorf("%w: key %.100q", ErrInvalidProgress, key)
	}
	return model.JobID(id), part, nil
}

// Encode returns the stored form of the progress: the same JSON as that of encoding/json, whose reflection takes several
// times as long. An owner encodes the progress of a job after each change.
func (p Progress) Encode() ([]byte, error) {
	o := object{append(make([]byte, 0, 64+64*len(p.Tasks)), '{')}
	o.text("final", string(p.Final))
	o.flag("begun", p.Begun)
	if p.Split {
		o.key("tasks")
		o.data = append(o.data, splitTasks...)
	} else if len(p.Tasks) > 0 {
		o.key("tasks")
		o.data = append(o.data, '[')
		for i := range p.Tasks {
			o.separate(i)
			p.Tasks[i].encode(&o)
		}
		o.data = append(o.data, ']')
	}
	return append(o.data, '}'), nil
}

func (t *TaskProgress) encode(o *object) {
	o.data = append(o.data, '{')
	o.number("occurrence", int64(t.Occurrence))
	o.number("stage", int64(t.Stage))
	o.number("index", int64(t.Index))
	o.flag("done", t.Done)
	o.number("last-run", int64(t.LastRun))
	if len(t.FailedRuns) > 0 {
		o.key("failed-runs")
		o.data = append(o.data, '[')
		for i, run := range t.FailedRuns {
			o.separate(i)
			o.data = strconv.AppendInt(o.data, int64(run), 10)
		}
		o.data = append(o.data, ']')
	}
	if len(t.Bindings) > 0 {
		o.key("bindings")
		o.data = append(o.data, '[')
		for i, b := range t.Bindings {
			o.separate(i)
			o.data = append(o.data, `{"run":`...)
			o.data = strconv.AppendInt(o.data, int64(b.Run), 10)
			o.key("worker")
			o.quote(string(b.Worker))
			o.data = append(o.data, `,"born":`...)
			o.data = strconv.AppendInt(o.data, b.Incarnation, 10)
			o.flag("settled", b.Settled)
			o.data = append(o.data, '}')
		}
		o.data = append(o.data, ']')
	}
	o.flag("settled", t.Settled)
	o.text("late-start-on", string(t.LateStartOn))
	o.text("checkpoint", t.Checkpoint)
	o.data = append(o.data, '}')
}

// object appends the fields of JSON objects; it leaves out fields that are zero.
type object struct{ data []byte }

// separate appends a comma unless the element is the first one.
func (o *object) separate(index int) {
	if index > 0 {
		o.data = append(o.data, ',')
	}
}

func (o *object) key(name string) {
	if o.data[len(o.data)-1] != '{' {
		o.data = append(o.data, ',')
	}
	o.data = append(append(append(o.data, '"'), name...), '"', ':')
}

func (o *object) number(name string, value int64) {
	if value != 0 {
		o.key(name)
		o.data = strconv.AppendInt(o.data, value, 10)
	}
}

func (o *object) flag(name string, value bool) {
	if value {
		o.key(name)
		o.data = append(o.data, "true"...)
	}
}

func (o *object) text(name, value string) {
	if value != "" {
		o.key(name)
		o.quote(value)
	}
}

// quote appends a string; identifiers and checkpoints rarely contain a character that needs an escape.
func (o *object) quote(value string) {
	for i := range len(value) {
		if c := value[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			// Encoding a string can't fail.
			text, _ := json.Marshal(value)
			o.data = append(o.data, text...)
			return
		}
	}
	o.data = append(append(append(o.data, '"'), value...), '"')
}

// ErrInvalidProgress reports recorded progress that can't be understood.
var ErrInvalidProgress = errors.New("bad progress")

// DecodeProgress parses the stored form of a job's progress. It returns ErrInvalidProgress for progress that is malformed or
// names an impossible task, run or state.
func DecodeProgress(data []byte) (Progress, error) {
	var stored struct {
		Final State           `json:"final"`
		Begun bool            `json:"begun"`
		Tasks json.RawMessage `json:"tasks"`
	}
	if err := json.Unmarshal(data, &stored); err != nil {
		return Progress{}, fmt.Errorf("%w: %w", ErrInvalidProgress, err)
	}
	p := Progress{Final: stored.Final, Begun: stored.Begun, Split: string(stored.Tasks) == splitTasks}
	if len(stored.Tasks) > 0 && !p.Split {
		if err := json.Unmarshal(stored.Tasks, &p.Tasks); err != nil {
			return Progress{}, fmt.Errorf("%w: %w", ErrInvalidProgress, err)
		}
	}
	if p.Final != "" && !p.Final.Final() {
		return Progress{}, fmt.Errorf("%w: final state %.100q", ErrInvalidProgress, p.Final)
	}
	for _, t := range p.Tasks {
		valid := t.Occurrence >= 0 && t.Stage >= 0 && t.Index >= 0 && t.LastRun >= 0
		for _, b := range t.Bindings {
			valid = valid && b.Run > 0 && b.Run <= t.LastRun && b.Worker != ""
		}
		if !valid {
			return Progress{}, fmt.Errorf("%w: task %d/%d/%d", ErrInvalidProgress, t.Occurrence, t.Stage, t.Index)
		}
	}
	return p, nil
}

// Encode returns the stored form of the job.
func (j Job) Encode() ([]byte, error) { return json.Marshal(j) }

// DecodeJob parses the stored form of a job. It returns ErrInvalidJob for a job that is malformed or not valid.
func DecodeJob(data []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(data, &j); err != nil {
		return Job{}, fmt.Errorf("%w: %w", ErrInvalidJob, err)
	}
	return j, j.Validate()
}
