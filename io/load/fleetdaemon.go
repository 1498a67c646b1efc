package load

import (
	"verbenaway/io/conf"
	"verbenaway/io/daemon"
)

// newDaemon returns a daemon that runs in this process.
func newDaemon(settings conf.Settings) (inProcessDaemon, error) {
	return daemon.New(daemon.Config{
		Settings: settings,
	})
}
