package lab

import (
	"context"
	"sync"
	"time"
)

// loadGenerator acts as all clients of a scenario over sockets.
type loadGenerator struct {
	scenario    *Scenario
	dispatchers []*dispatcherClient
	calls       sync.WaitGroup

	mu       sync.Mutex
	attempts []*ClientAttempt // in the order in which they ended
}

// run starts the scenario's calls at their times, independently of the progress of earlier calls, and returns when all have
// ended. No call starts once ctx is done.
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
			g.runCall(newLogicalCall(g.scenario, a, len(g.dispatchers)))
		}()
	}
	g.calls.Wait()
	for _, d := range g.dispatchers {
		d.closeIdle()
	}
}

// runCall sends the attempts of one logical call.
func (g *loadGenerator) runCall(c *logicalCall) {
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

// sendToFirstReachable sends an attempt to the first dispatcher that accepts a connection. Dispatchers that refuse one have
// received nothing, so that the attempt records only the last dispatcher.
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

// clientAttempts returns all attempts. It is valid after run has returned.
func (g *loadGenerator) clientAttempts() []ClientAttempt {
	var out []ClientAttempt
	for _, a := range g.attempts {
		out = append(out, *a)
	}
	return out
}
