// Command standin plays the cases of the review: it starts routers as separate processes and stands in for the platform's store, the
// runners and the requesters.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// fault is what a case returns: the rule's name and what broke it, or "" if the rule held.
type fault string

var cases = map[string]func(rec *record, trouble bool) fault{}

// running is the fleet that is stopped at every end of the program.
var current *fleet

func cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	if current != nil {
		current.stop()
	}
	os.Exit(2)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("stopped")
	}()
	rec := newRecord(os.Args[2])
	f := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if current != nil {
		current.stop()
	}
	if f != "" {
		rec.add("BROKEN %s", f)
	} else {
		rec.add("the rule held")
	}
	rec.close()
	if f != "" {
		fmt.Println("broken:", f)
		os.Exit(1)
	}
	fmt.Println("held")
}
