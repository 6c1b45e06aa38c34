// Command standin plays a case of the review: it starts the project's fronts as processes, and a store, replicas and
// clients beside them. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is what a case gets: where the project is, a folder for settings and logs, and whether there is trouble.
type play struct {
	root    string
	dir     string
	trouble bool
	rec     *recorder
}

func main() {
	root := flag.String("root", ".", "root of the repository, with the built program in target/")
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	cases := map[string]func(ply *play) (broken bool, err error){
		"first-event": playFirstEvent,
		"many-parts":  playManyParts,
		"query":       playQuery,
	}
	run, ok := cases[*name]
	if !ok {
		fail("unknown case %q", *name)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	tempDir = dir
	rec, err := newRecorder(*record)
	if err != nil {
		fail("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		fail("interrupted")
	}()
	broken, err := run(&play{root: *root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec})
	stopAll()
	removeTempDir()
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		os.Exit(exitFailed)
	case broken:
		rec.say("BROKEN")
		os.Exit(exitBroken)
	}
	rec.say("held")
	os.Exit(exitHeld)
}

// fail ends the program because the case cannot run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	removeTempDir()
	os.Exit(exitFailed)
}

// tempDir is the folder for settings and logs; empty before it has been made.
var tempDir string

// removeTempDir removes the folder, unless KEEP is set.
func removeTempDir() {
	if tempDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	}
}
