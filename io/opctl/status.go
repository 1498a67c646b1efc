package opctl

import (
	"io"
	"time"

	"verbenaway/core"
	"verbenaway/io/admin"
)

var statusCommand = subcommand{
	name:    "status",
	help:    "Show the version in force in each availability zone, which hosts lag behind and why, and the refused notes.",
	usage:   "--admin HOST:PORT [--all] [--wait N] [--timeout DURATION]",
	example: "verbenactl status --admin 10.0.0.1:7004 --wait 42",
	prepare: func() (any, runFunc) {
		options := &statusOptions{}
		return options, options.run
	},
}

type statusOptions struct {
	adminOptions
	All     bool          `long:"all" description:"query every daemon instead of 3 in each availability zone"`
	Wait    uint64        `long:"wait" value-name:"N" description:"query every daemon until version N is in force on all of them"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"15s" description:"time limit of --wait"`
}

// hostsPerZone is the number of daemons queried in each availability zone without --all, so that
// the cost does not grow with the size of the fleet.
const hostsPerZone = 3

// run prints the status. With --wait it fails and lists the lagging daemons if the version is not
// in force on all of them within the time limit.
func (o *statusOptions) run(args []string, out io.Writer) error {
	if len(args) != 0 {
		return core.Errorf(core.Usage, "status takes no arguments, got %q", args[0])
	}
	client := o.client()
	hosts, err := client.Hosts(o.Admin)
	if err != nil {
		return err
	}
	if o.Wait > 0 {
		return o.waitForVersion(client, hosts, out)
	}
	if !o.All {
		hosts = admin.Sample(hosts, hostsPerZone)
	}
	admin.Summarize(client.Statuses(hosts), 0).Write(out)
	return nil
}

// waitForVersion queries all daemons, and then repeatedly the lagging ones that are not dead.
func (o *statusOptions) waitForVersion(client *admin.Client, hosts []core.Host, out io.Writer) error {
	deadline := time.Now().Add(o.Timeout)
	required := core.Version(o.Wait)
	answersByHost := map[core.HostName]admin.Answer[admin.Status]{}
	pending := hosts
	for {
		var lagging []core.Host
		for _, answer := range client.Statuses(pending) {
			answersByHost[answer.Host.Name] = answer
			if answer.IsDead() {
				continue
			}
			if answer.Err != nil || answer.Value.Version < required || answer.Value.NotServing != "" {
				lagging = append(lagging, answer.Host)
			}
		}
		pending = lagging
		if len(pending) == 0 || time.Now().After(deadline) {
			break
		}
		time.Sleep(admin.PollInterval)
	}
	answers := make([]admin.Answer[admin.Status], 0, len(hosts))
	for _, host := range hosts {
		answers = append(answers, answersByHost[host.Name])
	}
	admin.Summarize(answers, required).Write(out)
	if len(pending) > 0 {
		return errReported
	}
	return nil
}
