package conf

import (
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"verbenaway/core"
)

// Settings holds the settings of one daemon. Table lists the values that each accepts.
type Settings struct {
	Host             core.HostName         `toml:"host"`
	AvailabilityZone core.AvailabilityZone `toml:"availabilityZone"`
	Region           core.Region           `toml:"region"`
	Service          core.ServiceName      `toml:"service"`
	Listen           ListenSettings        `toml:"listen"`
	Upstream         UpstreamSettings      `toml:"upstream"`
	Store            StoreSettings         `toml:"store"`
	Spread           SpreadSettings        `toml:"spread"`
	Drain            DrainSettings         `toml:"drain"`
	Log              LogSettings           `toml:"log"`
}

// ListenSettings holds the four addresses on which a daemon listens.
type ListenSettings struct {
	Caller string `toml:"caller"`
	Gate   string `toml:"gate"`
	Peer   string `toml:"peer"`
	Admin  string `toml:"admin"`
}

// UpstreamSettings holds the address of the upstream on the host.
type UpstreamSettings struct {
	Address string `toml:"address"`
}

// StoreSettings configure the client of the store.
type StoreSettings struct {
	Address string        `toml:"address"`
	Timeout core.Duration `toml:"timeout"`
}

// SpreadSettings configure how the daemon learns of versions.
type SpreadSettings struct {
	// Way is WayVerbenaway or WayDirectWatch.
	Way   string   `toml:"way"`
	Seeds []string `toml:"seeds"`
}

// DrainSettings bound a planned stop.
type DrainSettings struct {
	Timeout core.Duration `toml:"timeout"`
}

// LogSettings configure the log.
type LogSettings struct {
	Level string `toml:"level"`
}

// The values of the setting spread.way.
const (
	WayVerbenaway  = "verbenaway"
	WayDirectWatch = "directWatch"
)

// Defaults returns the values of settings that the file does not contain.
func Defaults() Settings {
	return Settings{
		Store: StoreSettings{
			Timeout: core.Duration(2 * time.Second),
		},
		Spread: SpreadSettings{
			Way: WayVerbenaway,
		},
		Drain: DrainSettings{
			Timeout: core.Duration(60 * time.Second),
		},
		Log: LogSettings{
			Level: "info",
		},
	}
}

// ReadFile reads and checks a settings file. Errors are one line with file, key, value and
// accepted values, of kind SettingUnknown, SettingType or SettingRange.
func ReadFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, core.Errorf(core.SettingRange, "%v", err)
	}
	return Parse(path, data)
}

// Parse checks and decodes settings; name is the file name used in errors.
func Parse(name string, data []byte) (Settings, error) {
	var raw map[string]any
	if err := toml.Unmarshal(data, &raw); err != nil {
		return Settings{}, core.Errorf(core.SettingType, "%s: not valid TOML: %v", name, err)
	}
	if err := checkSettings(name, raw); err != nil {
		return Settings{}, err
	}
	settings := Defaults()
	if err := toml.Unmarshal(data, &settings); err != nil {
		return Settings{}, core.Errorf(core.SettingType, "%s: %v", name, err)
	}
	return settings, nil
}

// Self returns the host of this daemon as other daemons see it.
func (s Settings) Self() core.Host {
	return core.Host{
		Name:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		Region:           s.Region,
		Service:          s.Service,
		PeerAddress:      s.Listen.Peer,
		GateAddress:      s.Listen.Gate,
		AdminAddress:     s.Listen.Admin,
		State:            core.HostLive,
	}
}
