package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"verbenaway/io/conf"
	"verbenaway/io/shell"
)

// Exit codes of verbenad.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// options are the command line options of verbenad.
type options struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" required:"true" description:"settings in TOML; docs/reference.md lists them"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Main runs verbenad until SIGTERM or SIGINT, which start a planned stop, and returns the exit
// code.
func Main(args []string, errOut io.Writer) int {
	var opts options
	description := "The daemon of verbenaway, one per host: entry for callers and gatekeeper of the upstream on the host."
	if code, ok := shell.Parse("verbenad", description, &opts, args, errOut); !ok {
		return code
	}
	settings, err := conf.ReadFile(opts.Settings)
	if err != nil {
		fmt.Fprintf(errOut, "verbenad: %v\n", err)
		return exitSettings
	}
	if opts.Check {
		return exitOK
	}
	logger := newLogger(errOut, settings.Log.Level)
	if err = run(settings, logger); err != nil {
		logger.WithField("error", err.Error()).Error("failed")
		return exitFailed
	}
	return exitOK
}

// newLogger returns a logger that writes one line of key=value pairs per event.
func newLogger(out io.Writer, level string) log.Interface {
	return &log.Logger{
		Handler: logfmt.New(out),
		Level:   log.MustParseLevel(level),
	}
}

// run serves until a signal and then stops gracefully.
func run(settings conf.Settings, logger log.Interface) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := New(Config{
		Settings: settings,
		Log:      logger,
	})
	if err != nil {
		return err
	}
	if err = d.Start(context.Background()); err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(settings.Drain.Timeout))
	defer cancel()
	return d.Stop(ctx)
}
