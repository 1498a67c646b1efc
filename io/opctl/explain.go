package opctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/url"

	"verbenaway/core"
	"verbenaway/core/route"
	"verbenaway/io/admin"
)

var explainCommand = subcommand{
	name:    "explain",
	help:    "Show how a daemon would route a request or why it would refuse it.",
	usage:   "--admin HOST:PORT [--method METHOD] [--tenant TENANT] URL",
	example: "verbenactl explain --admin 10.0.0.1:7004 http://netbook.tussock.example/nets/7",
	prepare: func() (any, runFunc) {
		options := &explainOptions{}
		return options, options.run
	},
}

type explainOptions struct {
	adminOptions
	Method string `long:"method" value-name:"METHOD" default:"GET" description:"HTTP method of the request"`
	Tenant string `long:"tenant" value-name:"TENANT" description:"tenant of the request"`
}

// run prints the decision as indented JSON.
func (o *explainOptions) run(args []string, out io.Writer) error {
	if len(args) != 1 {
		return core.Errorf(core.Usage, "explain takes one URL, got %d", len(args))
	}
	requestURL, err := url.Parse(args[0])
	if err != nil || requestURL.Host == "" {
		return core.Errorf(core.Usage, "%q is not a URL with a host, such as http://netbook.tussock.example/nets/7", args[0])
	}
	answer, err := o.client().Explain(o.Admin, admin.Query{
		Host:   requestURL.Host,
		Path:   route.DecodedPath(requestURL),
		Method: o.Method,
		Tenant: o.Tenant,
	})
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err = json.Indent(&indented, answer, "", "  "); err != nil {
		return core.Errorf(core.PeerMalformed, "answer of %s: %v", o.Admin, err)
	}
	_, err = fmt.Fprintln(out, indented.String())
	return err
}

// writeMissing reports a daemon whose events are missing from the timeline.
func writeMissing(out io.Writer, host core.Host, err error) {
	_, _ = fmt.Fprintf(out, "missing host=%s az=%s reason=%q\n", host.Name, host.AvailabilityZone, err.Error())
}
