package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxLength bounds the time of a case.
const maxLength = 110 * time.Second

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *record, isTroubled bool) (bool, error){
	"crash":    playCrash,
	"stop":     playStop,
	"escape":   playEscape,
	"restart":  playRestart,
	"coldness": playColdness,
}

func main() {
	os.Exit(run())
}

// run plays the case named by the first argument and writes the record to the second.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	// The kernel kills the daemons when this process ends.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxLength):
			fmt.Println("could not run: it takes too long")
		}
		os.Exit(exitFailed)
	}()
	isTroubled := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], isTroubled)
	isBroken, err := cases[os.Args[1]](rec, isTroubled)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case isBroken:
		rec.add("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
