package load

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"verbenaway/io/conf"
)

// Files that the subcommand layout writes for scripts/demo.sh and the subcommand demo.
const (
	planFile      = "plan.json"
	hostsFile     = "hosts.json"
	processesFile = "processes"
)

// Stand-ins end after standInLifetime even if the script that started them was killed.
const standInLifetime = "120s"

// LayoutCommand is the subcommand layout.
type LayoutCommand struct {
	Dir string `long:"dir" value-name:"DIR" required:"true" description:"directory to write to"`
	Bin string `long:"bin" value-name:"DIR" default:"bin" description:"directory of the programs"`
}

func (p Plan) settings(host HostPlan) conf.Settings {
	settings := conf.Defaults()
	settings.Host = host.Name
	settings.AvailabilityZone = host.AvailabilityZone
	settings.Region = host.Region
	settings.Service = host.Service
	settings.Listen = conf.ListenSettings{
		Caller: host.CallerAddress,
		Gate:   host.GateAddress,
		Peer:   host.PeerAddress,
		Admin:  host.AdminAddress,
	}
	settings.Upstream.Address = host.UpstreamAddress
	settings.Store.Address = "http://" + p.StoreAddress
	settings.Spread.Seeds = p.Seeds(host)
	return settings
}

// Execute writes the plan, the host list, the settings of each daemon, and the processes to
// start, one line each with name and command.
func (c *LayoutCommand) Execute([]string) error {
	plan, err := NewPlan(tussockServices)
	if err != nil {
		return err
	}
	if err := writeJSONFile(filepath.Join(c.Dir, planFile), plan); err != nil {
		return err
	}
	if err := writeJSONFile(filepath.Join(c.Dir, hostsFile), plan.HostList()); err != nil {
		return err
	}
	for _, host := range plan.Hosts {
		if err := writeTOMLFile(c.settingsFile(host), plan.settings(host)); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(c.Dir, processesFile), []byte(c.processes(plan)), 0o600)
}

func (c *LayoutCommand) settingsFile(host HostPlan) string {
	return filepath.Join(c.Dir, string(host.Name)+".toml")
}

func (c *LayoutCommand) processes(plan Plan) string {
	standin := filepath.Join(c.Bin, "standin")
	lines := []string{
		fmt.Sprintf("store %s store --listen %s --hosts %s --end-after %s",
			standin, plan.StoreAddress, filepath.Join(c.Dir, hostsFile), standInLifetime),
	}
	for i, host := range plan.Hosts {
		lines = append(lines, fmt.Sprintf("upstream-%s %s upstream --listen %s --host %s --service %s --availability-zone %s"+
			" --call-on http://%s --call-host %s --call-path %s --slots %d --connections %d --cold-slots %d --cold-for %s --service-time 20ms --distribution exponential --random-seed %d --end-after %s",
			host.Name, standin, host.UpstreamAddress, host.Name, host.Service, host.AvailabilityZone,
			host.CallerAddress, RequestTemplates[0].Host, RequestTemplates[0].Path,
			tussockCapacity.Slots, tussockCapacity.Connections, tussockCapacity.ColdSlots, upstreamColdStart, i+1, standInLifetime))
	}
	for _, host := range plan.Hosts {
		lines = append(lines, fmt.Sprintf("daemon-%s %s --settings %s",
			host.Name, filepath.Join(c.Bin, "verbenad"), c.settingsFile(host)))
	}
	return strings.Join(lines, "\n") + "\n"
}

func writeJSONFile(file string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o600)
}

func writeTOMLFile(file string, value any) error {
	data, err := toml.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}
