// Command review-2-stand plays the scripts of the second review. It starts the program of the
// deploy file as separate processes on loopback addresses, with stand-ins for the platform, the
// replicas and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripts, by name. They report whether the rule was broken.
var cases = map[string]func(record *Record, trouble bool) (bool, error){
	"drain":    drain,
	"slowread": slowRead,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2-stand case record")
		return exitFailed
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	// The processes of the machines end with this one.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		_ = os.RemoveAll(tempDir)
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](record, trouble)
	switch {
	case err != nil:
		record.Log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		record.Log("the rule was broken")
		return exitBroken
	}
	record.Log("the rule held")
	return exitHeld
}
