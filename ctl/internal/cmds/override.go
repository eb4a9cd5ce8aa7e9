package cmds

import (
	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/model"
)

// applyOptions returns the settings overridden by the options that are set.
func applyOptions(settings config.Ctl, given options) config.Ctl {
	if given.Server != "" {
		settings.Server = given.Server
	}
	if given.KeyFile != "" {
		settings.KeyFile = given.KeyFile
	}
	if given.Timeout != 0 {
		settings.Timeout = model.Duration(given.Timeout)
	}
	return settings
}
