package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/core/inbox"
)

// completionChunk holds the fields of a chat-completions event that routing needs.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *tokenUsage `json:"usage"`
	Error any         `json:"error"` // not nil if the run has failed
}

// tokenUsage is the token usage that the engine reports.
type tokenUsage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

// streamModel sends a chat-completions request and passes the events on. If the
// connection breaks after the request was sent, it resumes the run after the
// last event.
func (a *attempt) streamModel() inbox.Outcome {
	timeout := time.AfterFunc(firstEventTimeout, a.timeOut)
	defer timeout.Stop()
	r, err := a.newRequest(a.ctx)
	if err != nil {
		return inbox.OutcomeNotSent
	}
	response, err := a.client.modelClient.Do(r)
	complete := false
	if err != nil && !a.sent.Load() {
		return a.cancelRun(a.failureOutcome())
	}
	if err == nil {
		a.readRejection(response)
		if outcome, ok := statusOutcome(response); !ok {
			response.Body.Close()
			return outcome
		}
		complete = a.readEvents(response.Body, timeout)
		response.Body.Close()
	}
	if !complete {
		complete = a.resumeStream(timeout)
	}
	if !complete {
		return a.cancelRun(a.failureOutcome())
	}
	a.exchange.SetFinalEvents(a.command.Attempt, a.finalEvents, a.usage.Prompt, a.usage.Completion)
	return inbox.OutcomeCompleted
}

// statusOutcome reports whether the status is 200, and returns the attempt's
// outcome for any other status.
func statusOutcome(response *http.Response) (inbox.Outcome, bool) {
	switch {
	case response.StatusCode == http.StatusOK:
		return 0, true
	case response.StatusCode == http.StatusTooManyRequests:
		return inbox.OutcomeFull, false
	case response.StatusCode < http.StatusInternalServerError:
		return inbox.OutcomeRejected, false
	}
	return inbox.OutcomeConnectionFailed, false
}

// timeOut cancels the attempt because no event arrived in time.
func (a *attempt) timeOut() {
	a.timedOut.Store(true)
	a.cancel()
}

// cancelRun asks the engine to stop the attempt's run if the request may have
// reached the engine. It returns the outcome unchanged.
func (a *attempt) cancelRun(outcome inbox.Outcome) inbox.Outcome {
	if a.sent.Load() && outcome != inbox.OutcomeNotSent {
		c := &runCanceller{a}
		go c.run()
	}
	return outcome
}

// runCanceller sends the request that stops a run on an engine.
type runCanceller struct{ attempt *attempt }

func (c *runCanceller) run() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	url := "http://" + c.attempt.command.Address + "/v1/runs/" + c.attempt.runID() + "/cancel"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return
	}
	if response, err := c.attempt.client.modelClient.Do(r); err == nil {
		response.Body.Close()
	}
}

// readEvents passes events on, and reports whether the [DONE] marker arrived.
func (a *attempt) readEvents(body io.Reader, timeout *time.Timer) bool {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return true
		}
		timeout.Reset(nextEventTimeout)
		if !a.handleEvent(bytes.Clone(data)) {
			return false
		}
	}
	return false
}

// handleEvent passes one event on. Events without choices, or with a finish reason
// and no text, end the response and are held back until the request is settled.
// handleEvent returns false if the event is malformed, reports an error, or is no longer
// accepted, or after more than maxFinalEvents without text, which are kept.
func (a *attempt) handleEvent(data []byte) bool {
	var c completionChunk
	if err := json.Unmarshal(data, &c); err != nil || c.Error != nil {
		return false
	}
	if c.Usage != nil {
		a.usage = *c.Usage
	}
	if len(c.Choices) == 0 || c.Choices[0].FinishReason != nil && c.Choices[0].Delta.Content == "" {
		a.finalEvents = append(a.finalEvents, data)
		return len(a.finalEvents) <= maxFinalEvents
	}
	if !a.exchange.AddEvent(a.command.Attempt, data, c.Choices[0].Delta.Content) {
		return false
	}
	if a.eventCount == 0 {
		a.client.post(inbox.AttemptStarted{Request: a.command.Request, Attempt: a.command.Attempt})
	}
	a.eventCount++
	return true
}

// resumeStream requests the run's further events from the same engine, and
// reports whether the stream then completed. An engine that refuses connections,
// does not know the run, or stays unreachable counts as crashed.
func (a *attempt) resumeStream(timeout *time.Timer) bool {
	deadline := time.Now().Add(resumeTimeout)
	for time.Now().Before(deadline) && a.ctx.Err() == nil {
		a.finalEvents = nil
		url := "http://" + a.command.Address + "/v1/runs/" + a.runID() + "/resume?offset=" + strconv.Itoa(a.eventCount)
		r, err := http.NewRequestWithContext(a.ctx, http.MethodPost, url, nil)
		if err != nil {
			return false
		}
		response, err := a.client.modelClient.Do(r)
		if err != nil {
			a.crashed = true
			if errors.Is(err, syscall.ECONNREFUSED) && a.eventCount == 0 {
				return false
			}
			time.Sleep(resumeInterval)
			continue
		}
		runKnown := response.StatusCode == http.StatusOK
		a.crashed = !runKnown
		complete := runKnown && a.readEvents(response.Body, timeout)
		response.Body.Close()
		if complete || !runKnown {
			return complete
		}
	}
	return false
}
