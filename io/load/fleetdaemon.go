package load

import (
	"verbenaway/io/conf"
	"verbenaway/io/daemon"
)

func newDaemon(settings conf.Settings) (inProcessDaemon, error) {
	return daemon.New(daemon.Config{
		Settings: settings,
	})
}
