package daemon

import (
	"strings"

	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// loop steps the core when something happened and at every tick, and carries
// out its commands.
func (d *Daemon) loop() {
	ticks := d.clock.Subscribe(tickEvery)
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

// batch takes what else waits in the inbox.
func (d *Daemon) batch(first inbox.Event) []inbox.Event {
	events := []inbox.Event{first}
	for len(events) < maxBatch {
		select {
		case e := <-d.inbox:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

func (d *Daemon) execute(command outbox.Command) {
	switch c := command.(type) {
	case outbox.Transact:
		d.platform.Transact(c)
	case outbox.Read:
		d.platform.Read(c)
	case outbox.ListVMs:
		d.platform.List()
	case outbox.Send:
		d.peers.Send(c.To, c.Message)
	case outbox.StartAttempt:
		d.start(c)
	case outbox.CancelAttempt:
		d.endpoints.Cancel(c)
	case outbox.ChangeDone:
		d.operators.Done(c.ID, c)
	case outbox.QueryDone:
		d.operators.Done(c.ID, c)
	case outbox.ConfigDone:
		d.operators.Done(c.ID, c)
	case outbox.Count:
		d.metrics.Count(c.Counter, c.Reason)
	case outbox.Log:
		d.log.Info(c.Text, pairs(c.Fields)...)
	case outbox.Ready:
		d.callers.SetReady(c.Ready)
	case outbox.Stopped:
		close(d.stopped)
	case outbox.Fenced:
		close(d.fenced)
	default:
		d.answer(command)
	}
}

// answer carries out the commands that end a caller's wait.
func (d *Daemon) answer(command outbox.Command) {
	switch c := command.(type) {
	case outbox.Refuse:
		d.log.V(1).Info("refused", "request", c.Request, "reason", c.Refusal.Reason, "notRun", c.Refusal.NotRun())
		d.callers.Refuse(c.Request, c.Refusal)
	case outbox.Finish:
		d.callers.Finish(c.Request, c.Billed)
	case outbox.Join:
		d.callers.Join(c.Request, c.Running)
	case outbox.Replay:
		d.callers.Replay(c.Request, c.Answer)
	case outbox.Forward:
		d.callers.Forward(c.Request, c.To, c.MayHaveRun)
	}
}

// start sends an attempt. A session that every caller left needs none.
func (d *Daemon) start(c outbox.StartAttempt) {
	session := d.callers.Session(c.Request)
	if session == nil {
		e := &ended{daemon: d, event: inbox.AttemptEnded{
			Request: c.Request, Attempt: c.Attempt, Endpoint: c.Endpoint, Outcome: inbox.OutcomeNeverSent,
		}}
		go e.run()
		return
	}
	d.endpoints.Start(c, session)
}

// ended posts an event from outside the loop, which must not wait for itself.
type ended struct {
	daemon *Daemon
	event  inbox.Event
}

func (e *ended) run() { e.daemon.post(e.event) }

func pairs(fields []string) []any {
	all := make([]any, 0, len(fields))
	for _, f := range fields {
		all = append(all, strings.TrimSpace(f))
	}
	return all
}
