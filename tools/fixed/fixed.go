// Package fixed makes tests with random input deterministic.
package fixed

import (
	"flag"
	"fmt"
)

// Preset is the name and the value of a flag of a test binary, such as "rapid.checks" and "40".
type Preset struct {
	Name  string
	Value string
}

// Random sets a fixed seed for pgregory.net/rapid, prevents it from writing failure files into the
// source tree, and sets further flags. Call it in TestMain before m.Run, which parses the command
// line, so that flags given there take precedence. Random panics if a flag does not exist.
func Random(seed uint64, presets ...Preset) {
	presets = append(presets,
		Preset{
			Name:  "rapid.seed",
			Value: fmt.Sprint(seed),
		},
		Preset{
			Name:  "rapid.nofailfile",
			Value: "true",
		},
	)
	for _, preset := range presets {
		if err := flag.Set(preset.Name, preset.Value); err != nil {
			panic(err)
		}
	}
}
