// Package fixed makes tests with random input deterministic.
package fixed

import (
	"flag"
	"fmt"
)

// Flag is the name and the value of a flag of a test binary, such as "rapid.checks" and "40".
type Flag struct {
	Name  string
	Value string
}

// ConfigureRapid sets a fixed seed for pgregory.net/rapid, prevents it from writing failure files
// into the source tree, and sets further flags. Call it in TestMain before m.Run, which parses the
// command line, so that flags given there take precedence. ConfigureRapid panics if a flag does not
// exist.
func ConfigureRapid(seed uint64, flags ...Flag) {
	flags = append(flags,
		Flag{
			Name:  "rapid.seed",
			Value: fmt.Sprint(seed),
		},
		Flag{
			Name:  "rapid.nofailfile",
			Value: "true",
		},
	)
	for _, f := range flags {
		if err := flag.Set(f.Name, f.Value); err != nil {
			panic(err)
		}
	}
}
