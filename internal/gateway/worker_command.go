package gateway

import (
	"mastchute/control"
)

const workerCheckTimeout = 0.5 // s; workers respond to a check immediately

const probeTimeout = 1.0 // s; a newly listed worker that does not respond within it is announced without its start time

func (g *Gateway) allocateWorkerCommand(kind WorkerCommandKind, w *Worker, model *Model) *WorkerCommand {
	if len(g.freeWorkerCommands) == 0 {
		g.freeWorkerCommands = append(g.freeWorkerCommands, g.newWorkerCommand())
	}
	last := len(g.freeWorkerCommands) - 1
	command := g.freeWorkerCommands[last]
	g.freeWorkerCommands = g.freeWorkerCommands[:last]
	command.Kind = kind
	command.Worker = w
	command.Model = model
	command.Replicas = 1
	command.Response = WorkerResponse{}
	command.createdAt = g.Loop.Now()
	command.finished = false
	w.callsInFlight++
	if model != nil {
		model.inFlight++
	}
	return command
}

func (g *Gateway) newWorkerCommand() *WorkerCommand {
	command := &WorkerCommand{gateway: g}
	command.timeoutTimer.Fire = func() { g.finishWorkerCommand(command, control.TimedOut) }
	return command
}

func (g *Gateway) sendWorkerCommand(command *WorkerCommand, timeout float64) {
	g.Loop.StartTimer(&command.timeoutTimer, timeout)
	command.Worker.transport.SendWorkerCommand(command)
}

// finishWorkerCommand records the end of a worker command, and delivers its result to the control module. It ignores a command
// that has finished.
func (g *Gateway) finishWorkerCommand(command *WorkerCommand, result control.Result) {
	if command.finished {
		return
	}
	command.finished = true
	if result == control.TimedOut || result == control.NotSent {
		command.Worker.transport.CancelWorkerCommand(command)
	}
	g.Loop.CancelTimer(&command.timeoutTimer)
	command.Worker.callsInFlight--
	if command.Model != nil {
		command.Model.inFlight--
	}
	g.deliverWorkerCommandResult(command, result)
	// Deferred, because the transport may still use the record when this function returns to it.
	g.Loop.Defer(func() { g.freeWorkerCommands = append(g.freeWorkerCommands, command) })
}

func (g *Gateway) deliverWorkerCommandResult(command *WorkerCommand, result control.Result) {
	duration := g.Loop.Now() - command.createdAt
	g.renewLeaseByCommand(command, result)
	switch command.Kind {
	case CommandLoadModel:
		load := control.LoadResult{Worker: command.Worker.ID, Model: command.Model.ID, Result: result, Duration: duration, Replicas: command.Response.Replicas,
			LeaseUntil: command.Worker.lease.Until()}
		g.deliver(func(module control.Module) { module.LoadFinished(load) })
	case CommandCheckWorker:
		check := control.CheckResult{Worker: command.Worker.ID, Result: result, LeaseUntil: command.Worker.lease.Until()}
		g.deliver(func(module control.Module) { module.WorkerChecked(check) })
	case CommandProbe:
		probe := control.ProbeResult{Worker: command.Worker.ID, Result: result, Duration: duration, LoadReport: command.Response.LoadReport[:command.Response.LoadReportLen]}
		g.deliver(func(module control.Module) { module.ProbeFinished(probe) })
	case CommandStartupProbe:
		command.Worker.startupProbeCommand = nil
		g.finishStartupProbe(command.Worker, result == control.Succeeded)
	}
}
