// Command cases plays the cases of the review: stand-ins for clients, runners and the change log around dispatchers that run
// as separate processes. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	longestRun = 110 * time.Second
)

// environment is what a case runs in.
type environment struct {
	root, dir   string // the repository, and a temporary folder
	rec         *record
	trouble     bool // play the disruption
	log         *changeLog
	mu          sync.Mutex
	dispatchers []*dispatcher
}

// startRunners starts runners named a, b, ... and a change log that lists them. There is one for each of groups.
func (e *environment) startRunners(groups ...*group) ([]*runner, error) {
	var runners []*runner
	var members []member
	for i, g := range groups {
		r, err := newRunner(e.rec, string(rune('a'+i)), "127.0.0.1:0", g)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
		members = append(members, r.member())
	}
	log, err := newChangeLog(members)
	e.log = log
	return runners, err
}

// close ends the dispatchers and removes the temporary folder.
func (e *environment) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range e.dispatchers {
		d.kill()
	}
	os.RemoveAll(e.dir)
}

// newEnvironment creates the record at path and a temporary folder.
func newEnvironment(root, path string) (*environment, error) {
	rec, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &environment{root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// play plays a case and returns the exit code.
func (e *environment) play(run func(*environment) (bool, error)) int {
	defer e.close()
	held, err := run(e)
	for _, d := range e.dispatchers {
		if d.hasExited() && err == nil {
			err = fmt.Errorf("a dispatcher ended: %s", d.cmd.ProcessState)
		}
	}
	switch {
	case err != nil:
		e.rec.say("not run: %v", err)
		return exitNotRun
	case !held:
		e.rec.say("the rule was broken")
		return exitBroken
	}
	e.rec.say("the rule held")
	return exitHeld
}

func main() {
	name := flag.String("case", "", "other-cell, late-attempt or late-list")
	root := flag.String("root", ".", "the repository's root")
	path := flag.String("record", "record.txt", "the record's file")
	flag.Parse()
	cases := map[string]func(*environment) (bool, error){"late-attempt": lateAttempt, "other-cell": otherCell, "late-list": lateList}
	run := cases[*name]
	if run == nil {
		fmt.Println("not run: no such case")
		os.Exit(exitNotRun)
	}
	e, err := newEnvironment(*root, *path)
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- e.play(run) }()
	select {
	case code := <-result:
		os.Exit(code)
	case <-ended:
	case <-time.After(longestRun):
		fmt.Println("not run: the case did not end")
	}
	e.close()
	os.Exit(exitNotRun)
}
