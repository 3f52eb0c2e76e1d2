package daemon

import (
	"strings"

	"hawthornspar/core/inbox"
	"hawthornspar/core/notrun"
	"hawthornspar/core/outbox"
)

// loop steps the core whenever events arrive and at every tick, and executes
// the commands that the core returns.
func (d *Daemon) loop() {
	ticks := d.clock.NewTicker(tickInterval)
	defer ticks.Stop()
	for {
		var events []inbox.Event
		select {
		case e := <-d.inbox:
			events = d.batch(e)
		case <-ticks.C:
		case <-d.fenced:
			return
		}
		for _, c := range d.router.Step(d.clock.Now(), events) {
			d.execute(c)
		}
	}
}

// batch returns first and the events that already wait in the inbox, at most
// maxBatchEvents in all.
func (d *Daemon) batch(first inbox.Event) []inbox.Event {
	events := []inbox.Event{first}
	for len(events) < maxBatchEvents {
		select {
		case e := <-d.inbox:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

// execute carries out one command of the core.
func (d *Daemon) execute(command outbox.Command) {
	switch c := command.(type) {
	case outbox.Transact:
		d.platform.Transact(c)
	case outbox.Read:
		d.platform.Read(c)
	case outbox.ListVMs:
		d.platform.List()
	case outbox.SendMessage:
		d.peers.Send(c.To, c.Message)
	case outbox.StartAttempt:
		d.startAttempt(c)
	case outbox.CancelAttempt:
		d.endpoints.Cancel(c)
	case outbox.ChangeDone:
		d.operators.Complete(c.ID, c)
	case outbox.QueryDone:
		d.operators.Complete(c.ID, c)
	case outbox.ConfigDone:
		d.operators.Complete(c.ID, c)
	case outbox.Count:
		d.metrics.Increment(c.Counter, c.Reason)
	case outbox.Log:
		d.log.Info(c.Text, logValues(c.Fields)...)
	case outbox.Ready:
		d.callers.SetReady(c.Ready)
	case outbox.ShutdownComplete:
		close(d.stopped)
	case outbox.Fenced:
		close(d.fenced)
	default:
		d.respond(command)
	}
}

// respond carries out the commands that complete a caller's request: with a
// response, or by handing it to another request or VM.
func (d *Daemon) respond(command outbox.Command) {
	switch c := command.(type) {
	case outbox.Refuse:
		d.log.V(1).Info("refused", "request", c.Request, "reason", c.Refusal.Reason, "notRun", c.Refusal.NotRun())
		d.callers.Refuse(c.Request, c.Refusal)
	case outbox.ReleaseLastFrame:
		d.callers.Finish(c.Request, c.Billed)
	case outbox.Join:
		d.callers.Join(c.Request, c.Running)
	case outbox.Replay:
		d.callers.Replay(c.Request, c.Response)
	case outbox.Forward:
		d.callers.Forward(c)
	}
}

// startAttempt starts an attempt of a request. If all its callers have
// disconnected, so that it has no session, the attempt ends as never sent.
func (d *Daemon) startAttempt(c outbox.StartAttempt) {
	session := d.callers.Session(c.Request)
	if session == nil {
		e := &asyncPost{daemon: d, event: inbox.AttemptEnded{
			Request: c.Request, Attempt: c.Attempt, Endpoint: c.Endpoint, Outcome: inbox.OutcomeNotSent, Proof: notrun.FromError(&notrun.UnwrittenError{}),
		}}
		go e.run()
		return
	}
	d.endpoints.Start(c, session)
}

// asyncPost posts an event on a goroutine of its own. The loop must not post
// itself: it is the inbox's only reader and would deadlock on a full inbox.
type asyncPost struct {
	daemon *Daemon
	event  inbox.Event
}

func (e *asyncPost) run() { e.daemon.post(e.event) }

// logValues converts the alternating keys and values of a log command for logr
// and trims space around them.
func logValues(fields []string) []any {
	values := make([]any, 0, len(fields))
	for _, f := range fields {
		values = append(values, strings.TrimSpace(f))
	}
	return values
}
