package cmds

import (
	"fmt"
	"io"
	"os"
	"time"

	"arbutuswing.example/ctl/internal/exits"
	"arbutuswing.example/ctl/internal/story"
)

type explainCommand struct {
	*env
	Around time.Duration `long:"around" value-name:"TIME" description:"also show lines that name no job, from this long before the job's first line to this long after its last"`
	Args   struct {
		Job   string   `positional-arg-name:"JOB" description:"identifier of the job"`
		Files []string `positional-arg-name:"FILE" description:"logs of the processes; - for standard input"`
	} `positional-args:"yes"`
}

// Execute reads logs and prints the history of a job.
func (c *explainCommand) Execute([]string) error {
	if c.Args.Job == "" || len(c.Args.Files) == 0 {
		return fmt.Errorf("%w: name a job and the logs to read", exits.ErrUsage)
	}
	var log story.Log
	for _, name := range c.Args.Files {
		if err := readLog(&log, name); err != nil {
			return err
		}
	}
	return log.WriteHistory(c.out, c.Args.Job, c.Around)
}

func readLog(log *story.Log, name string) error {
	var in io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("opening a log: %w", err)
		}
		defer file.Close()
		in = file
	}
	return log.Read(in)
}
