package opctl

import (
	"time"

	"verbenaway/io/admin"
)

// adminOptions are the options of the subcommands that query daemons. status and timeline query
// the hosts that the daemon at Admin lists.
type adminOptions struct {
	Admin          string        `long:"admin" value-name:"HOST:PORT" required:"true" description:"admin address of any daemon"`
	RequestTimeout time.Duration `long:"ask-timeout" value-name:"DURATION" default:"2s" description:"time limit for a request to one daemon"`
}

func (o adminOptions) client() *admin.Client {
	return admin.NewClient(o.RequestTimeout)
}
