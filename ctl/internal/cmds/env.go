package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/google/uuid"

	"arbutuswing.example/ctl/internal/client"
	"arbutuswing.example/ctl/internal/exits"
	"arbutuswing.example/ctl/internal/files"
	"arbutuswing.example/internal/config"
)

// options are the options of every command.
type options struct {
	Server   string        `long:"server" value-name:"URL" description:"admin address of an entry instance, such as http://127.0.0.1:7101"`
	KeyFile  string        `long:"key-file" value-name:"FILE" description:"file that holds the key to send"`
	Settings string        `long:"settings" value-name:"FILE" description:"settings of aw-ctl; options take precedence"`
	Timeout  time.Duration `long:"timeout" value-name:"DURATION" description:"how long a call may take (default: 10s)"`
}

// env is the environment that all commands share.
type env struct {
	ctx     context.Context
	out     io.Writer
	options options
}

// printf writes to the output and ignores write errors, which must not change the exit code.
func (e *env) printf(format string, args ...any) { _, _ = fmt.Fprintf(e.out, format, args...) }

// settings returns the settings in the settings file, if any, overridden by the options.
func (e *env) settings() (config.Ctl, error) {
	settings := config.Ctl{}.WithDefaults()
	if e.options.Settings != "" {
		loaded, err := config.Load[config.Ctl](e.options.Settings)
		if err != nil {
			return config.Ctl{}, fmt.Errorf("%w: %w", exits.ErrInput, err)
		}
		settings = loaded
	}
	return applyOptions(settings, e.options), nil
}

// newClient returns a client for the configured server. With asOrganisation, the client sends the key as an organisation's
// approval key, else as the operator key.
func (e *env) newClient(asOrganisation bool) (*client.Client, error) {
	settings, err := e.settings()
	if err != nil {
		return nil, err
	}
	if settings.Server == "" {
		return nil, fmt.Errorf("%w: --server is needed", exits.ErrUsage)
	}
	if problems := settings.Check(); len(problems) > 0 {
		return nil, fmt.Errorf("%w: %w", exits.ErrUsage, problems[0])
	}
	if settings.KeyFile == "" {
		return nil, fmt.Errorf("%w: --key-file is needed", exits.ErrUsage)
	}
	key, err := files.ReadKey(settings.KeyFile)
	if err != nil {
		return nil, err
	}
	clientConfig := client.Config{Server: settings.Server, Timeout: settings.Timeout.Std()}
	if asOrganisation {
		clientConfig.OrganisationKey = key
	} else {
		clientConfig.OperatorKey = key
	}
	return client.New(clientConfig), nil
}

// newChangeID returns a random ID for a change.
func newChangeID() string { return "change-" + uuid.NewString() }

// authorOrUser returns the given author, or else the name of the current user.
func authorOrUser(given string) string {
	if given != "" {
		return given
	}
	if current, err := user.Current(); err == nil && current.Username != "" {
		return current.Username
	}
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "unknown"
}
