package lab

import (
	"context"
	"sync"
	"time"
)

// loadGenerator plays all clients of a scenario over sockets.
type loadGenerator struct {
	scenario    *Scenario
	dispatchers []*dispatcherClient
	calls       sync.WaitGroup

	mu       sync.Mutex
	attempts []*ClientAttempt // in the order in which they ended
}

// run begins the scenario's calls at their times, whatever becomes of those before, and returns when all have ended. No
// call begins once ctx is done.
func (g *loadGenerator) run(ctx context.Context, begin time.Time) {
	next := g.scenario.arrivals()
	for {
		a, ok := next()
		if !ok {
			break
		}
		time.Sleep(time.Until(begin.Add(seconds(a.at))))
		if ctx.Err() != nil {
			break
		}
		g.calls.Add(1)
		go func() {
			defer g.calls.Done()
			g.play(newLogicalCall(g.scenario, a, len(g.dispatchers)))
		}()
	}
	g.calls.Wait()
	for _, d := range g.dispatchers {
		d.closeIdle()
	}
}

// play makes the attempts of one logical call.
func (g *loadGenerator) play(c *logicalCall) {
	begin := time.Now()
	for {
		a, ok := c.nextAttempt(time.Since(begin).Seconds())
		if !ok {
			return
		}
		retryAfter := g.sendToFirstReachable(c, a)
		g.mu.Lock()
		g.attempts = append(g.attempts, a)
		g.mu.Unlock()
		delay, retries := c.retryDelay(a, retryAfter)
		if !retries {
			return
		}
		time.Sleep(seconds(delay))
	}
}

// sendToFirstReachable sends an attempt to the first dispatcher that accepts a connection. Those that do not have received
// nothing, so that the attempt holds what came of the last one only.
func (g *loadGenerator) sendToFirstReachable(c *logicalCall, a *ClientAttempt) (retryAfter float64) {
	unsent := *a
	for i := range g.dispatchers {
		*a = unsent
		retryAfter = g.dispatchers[(c.firstDispatcher+i)%len(g.dispatchers)].send(c, a)
		if !a.NotAccepted {
			break
		}
	}
	return retryAfter
}

// clientAttempts returns all attempts after the run.
func (g *loadGenerator) clientAttempts() []ClientAttempt {
	var out []ClientAttempt
	for _, a := range g.attempts {
		out = append(out, *a)
	}
	return out
}
