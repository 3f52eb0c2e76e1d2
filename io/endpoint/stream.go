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

// chunk is the part of a chat-completions event that routing needs.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *streamUsage `json:"usage"`
}

type streamUsage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

// stream sends a chat completion and passes its events on. When the
// connection breaks after the first event it resumes the run where it stood.
func (t *attempt) stream() inbox.Outcome {
	watch := time.AfterFunc(firstTimeout, t.stall)
	defer watch.Stop()
	r, err := t.request(t.ctx)
	if err != nil {
		return inbox.OutcomeNeverSent
	}
	response, err := t.client.stream.Do(r)
	whole := false
	if err != nil && !t.sent.Load() {
		return t.ended(t.failed())
	}
	if err == nil {
		if outcome, ok := refused(response); !ok {
			response.Body.Close()
			return outcome
		}
		whole = t.read(response.Body, watch)
		response.Body.Close()
	}
	if !whole {
		whole = t.resume(watch)
	}
	if !whole {
		return t.ended(t.failed())
	}
	t.exchange.Tail(t.start.Attempt, t.tail, t.usage.Prompt, t.usage.Completion)
	return inbox.OutcomeAnswered
}

// refused maps a status other than 200 to an outcome.
func refused(response *http.Response) (inbox.Outcome, bool) {
	switch {
	case response.StatusCode == http.StatusOK:
		return 0, true
	case response.StatusCode == http.StatusTooManyRequests:
		return inbox.OutcomeFull, false
	case response.StatusCode < http.StatusInternalServerError:
		return inbox.OutcomeRejected, false
	}
	return inbox.OutcomeBroken, false
}

func (t *attempt) stall() {
	t.stalled.Store(true)
	t.cancel()
}

// ended has the engine stop a run that nobody will read.
func (t *attempt) ended(outcome inbox.Outcome) inbox.Outcome {
	if t.sent.Load() && outcome != inbox.OutcomeNeverSent {
		c := &cancelCall{t}
		go c.run()
	}
	return outcome
}

type cancelCall struct{ attempt *attempt }

func (c *cancelCall) run() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	url := "http://" + c.attempt.start.Address + "/v1/runs/" + c.attempt.runID() + "/cancel"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return
	}
	if response, err := c.attempt.client.stream.Do(r); err == nil {
		response.Body.Close()
	}
}

// read passes events on until the end marker, and returns whether it came.
func (t *attempt) read(body io.Reader, watch *time.Timer) bool {
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
		watch.Reset(stallTimeout)
		if !t.event(bytes.Clone(data)) {
			return false
		}
	}
	return false
}

// event passes one event on. Events without text are the answer's last
// frames, which wait until the request is settled.
func (t *attempt) event(data []byte) bool {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false
	}
	if c.Usage != nil {
		t.usage = *c.Usage
	}
	if len(c.Choices) == 0 || c.Choices[0].FinishReason != nil && c.Choices[0].Delta.Content == "" {
		t.tail = append(t.tail, data)
		return true
	}
	if !t.exchange.Frame(t.start.Attempt, data, c.Choices[0].Delta.Content) {
		return false
	}
	if t.frames == 0 {
		t.client.post(inbox.AttemptStarted{Request: t.start.Request, Attempt: t.start.Attempt})
	}
	t.frames++
	return true
}

// resume asks the same engine for the run's events from where they broke off.
// An engine that refuses connections, does not know the run, or stays out of
// reach counts as dead.
func (t *attempt) resume(watch *time.Timer) bool {
	until := time.Now().Add(resumeFor)
	for time.Now().Before(until) && t.ctx.Err() == nil {
		t.tail = nil
		url := "http://" + t.start.Address + "/v1/runs/" + t.runID() + "/resume?offset=" + strconv.Itoa(t.frames)
		r, err := http.NewRequestWithContext(t.ctx, http.MethodPost, url, nil)
		if err != nil {
			return false
		}
		response, err := t.client.stream.Do(r)
		if err != nil {
			t.died = true
			if errors.Is(err, syscall.ECONNREFUSED) && t.frames == 0 {
				return false
			}
			time.Sleep(resumePause)
			continue
		}
		known := response.StatusCode == http.StatusOK
		t.died = !known
		whole := known && t.read(response.Body, watch)
		response.Body.Close()
		if whole || !known {
			return whole
		}
	}
	return false
}
