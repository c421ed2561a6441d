package app

import (
	"crypto/sha256"
	"math"
	"os"
	"time"

	"mastchute/internal/config"
	"mastchute/internal/gateway"
	"mastchute/internal/membership"
)

// workerFileWatcher polls the worker file and applies it whenever its content has changed. While the file cannot be
// used, the list applied last stays in force. It is owned by the goroutine that calls run.
type workerFileWatcher struct {
	dispatcher *dispatcher
	file       string // path; empty if there is no worker file

	applied   [sha256.Size]byte // hash of the content applied last
	lastError string            // reported last, so that an error that persists is not reported at every poll

	rejected bool // the gateway has rejected the content applied last; owned by the event loop
}

// newWorkerFileWatcher returns a watcher that has not read the file yet. An empty path means that there is no worker file.
func newWorkerFileWatcher(d *dispatcher, file string) *workerFileWatcher {
	w := &workerFileWatcher{dispatcher: d}
	w.setFile(file)
	return w
}

// setFile changes the path of the worker file. Without a path the list applied last stays in force, as old as it was read.
func (w *workerFileWatcher) setFile(file string) {
	if file == w.file {
		return
	}
	w.file = file
	if file == "" {
		return
	}
	gw := w.dispatcher.gateway
	w.dispatcher.loop.Post(func() { gw.EndpointListReadAt(membership.SourceFile, math.Inf(-1)) })
}

// check reads the file and applies it if its content differs from that applied last.
func (w *workerFileWatcher) check() {
	if w.file == "" {
		return
	}
	readAt := time.Now()
	text, err := os.ReadFile(w.file)
	if err != nil {
		w.reportError(err)
		return
	}
	hash := sha256.Sum256(text)
	if hash == w.applied {
		w.lastError = ""
		w.dispatcher.loop.Post(func() { w.confirm(readAt) })
		return
	}
	entries, err := parseWorkerFile(w.file, text)
	if err != nil {
		w.reportError(err)
		return
	}
	w.applied = hash
	w.lastError = ""
	gw := w.dispatcher.gateway
	w.dispatcher.loop.Post(func() {
		err := gw.ReplaceWorkers(membership.SourceFile, entries)
		w.rejected = err != nil
		if err != nil {
			gw.EndpointListFailed(err)
		}
		w.confirm(readAt)
	})
}

// confirm reports to the gateway that the file was read at readAt, unless its content was rejected. It runs on the event loop.
func (w *workerFileWatcher) confirm(readAt time.Time) {
	if w.rejected {
		return
	}
	d := w.dispatcher
	d.gateway.EndpointListReadAt(membership.SourceFile, d.loop.Clock()-time.Since(readAt).Seconds())
}

func parseWorkerFile(file string, text []byte) ([]membership.Entry, error) {
	workers, err := config.ParseWorkers(file, text)
	if err != nil {
		return nil, err
	}
	return gateway.WorkerEntries(workers)
}

// reportError reports an error to the gateway, which counts and logs it, unless it is the one reported last.
func (w *workerFileWatcher) reportError(err error) {
	message := err.Error()
	if message == w.lastError {
		return
	}
	w.lastError = message
	w.dispatcher.loop.Post(func() { w.dispatcher.gateway.EndpointListFailed(err) })
}
