// Command review2 holds the stand-ins and the checks of the cases 6 to 10: clients, runners and a change log on loopback
// around dispatchers that are started with the run command of the deploy file. It uses no code of the project.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const longest = 118 * time.Second // a case that takes longer is ended as not run

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(*world) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	root, err := findRoot()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], root))
}

// runCase runs a case, ends all that it started and returns its exit code.
func runCase(name, recordPath, root string) (code int) {
	w, err := newWorld(root, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	go w.endEarly()
	defer func() {
		if failure := recover(); failure != nil {
			w.rec.printf("not run: %v", failure)
			fmt.Println("not run:", failure)
			code = exitNotRun
		}
	}()
	code = cases[name](w)
	w.rec.printf("exit %d", code)
	fmt.Println("exit", code)
	return code
}

// endEarly ends the dispatchers and the case when it gets a signal or takes too long.
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case got := <-signals:
		w.rec.printf("not run to its end: %v", got)
	case <-time.After(longest):
		w.rec.printf("not run: longer than %v", longest)
	}
	w.close()
	os.Exit(exitNotRun)
}

// findRoot returns the repository's root: the nearest folder above that has a deploy file.
func findRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
	}
	return "", fmt.Errorf("no deploy/balancer.toml above the working folder")
}

// must panics with an error, which ends the case as not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
