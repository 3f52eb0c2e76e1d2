package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"hawthornspar/core/inbox"
)

// writer writes one caller's response.
type writer struct {
	server   *Server
	response http.ResponseWriter
	request  *http.Request
	raw      []byte // the caller's body
	key      string
	session  *Session
	stream   bool
	started  bool
	text     strings.Builder
}

// run follows the session to its end, or until the caller hangs up.
func (t *writer) run() {
	offset, round := 0, 0
	t.response.Header().Set(HeaderVM, t.server.vm)
	t.response.Header().Set(HeaderKey, t.key)
	for {
		frames, end, changed, current := t.session.next(offset, round)
		if current != round {
			offset, round = 0, current
			t.text.Reset()
		}
		if !t.claim(offset+len(frames), round) {
			continue
		}
		if !t.frames(frames) {
			t.leave()
			return
		}
		offset += len(frames)
		if end != nil && end.kind == endJoined {
			t.leave()
			t.session, offset, round = end.joined, 0, 0
			continue
		}
		if end != nil {
			t.end(end)
			t.leave()
			return
		}
		select {
		case <-changed:
		case <-t.request.Context().Done():
			t.leave()
			return
		}
	}
}

// claim counts frames as sent to a streaming caller. An answer that is not
// streamed is sent as a whole at its end.
func (t *writer) claim(count, round int) bool {
	if !t.stream {
		count = 0
	}
	return t.session.claim(count, round)
}

// leave detaches from the session and tells the core when nobody is left.
func (t *writer) leave() {
	last, ended := t.session.detach()
	if !last {
		return
	}
	t.server.remove(t.session.ID)
	if !ended {
		t.server.post(inbox.CallerGone{Request: t.session.ID, Tokens: t.session.Delivered()})
	}
}

// frames passes on parts of the answer. It returns false when the caller is
// gone.
func (t *writer) frames(frames []frame) bool {
	if len(frames) == 0 {
		return true
	}
	if !t.stream {
		for _, f := range frames {
			t.text.WriteString(f.text)
		}
		return true
	}
	t.start()
	for _, f := range frames {
		if !t.event(f.data) {
			return false
		}
	}
	return t.flush()
}

func (t *writer) start() {
	if t.started {
		return
	}
	t.started = true
	t.response.Header().Set("Content-Type", "text/event-stream")
	t.response.Header().Set("Cache-Control", "no-cache")
	t.response.WriteHeader(http.StatusOK)
}

func (t *writer) event(data []byte) bool {
	control := http.NewResponseController(t.response)
	control.SetWriteDeadline(t.server.clock.Now().Add(writeTimeout))
	_, err := fmt.Fprintf(t.response, "data: %s\n\n", data)
	return err == nil
}

func (t *writer) flush() bool { return http.NewResponseController(t.response).Flush() == nil }

func (t *writer) end(e *ending) {
	switch e.kind {
	case endFinished:
		t.finished(e)
	case endRefused:
		t.refused(e)
	case endReplayed:
		t.answer(e)
	case endForwarded:
		t.forward(e)
	}
}

func (t *writer) finished(e *ending) {
	switch {
	case t.session.Kind != "model":
		t.response.Header().Set(HeaderBilled, strconv.FormatInt(e.billed, 10))
		t.answer(e)
	case t.stream:
		t.start()
		for _, f := range e.tail {
			t.event(f.data)
		}
		fmt.Fprintf(t.response, ": billed=%d\n\n", e.billed)
		t.event([]byte("[DONE]"))
		t.flush()
	default:
		t.response.Header().Set(HeaderBilled, strconv.FormatInt(e.billed, 10))
		writeJSON(t.response, http.StatusOK, t.completion(e))
	}
}

// completion is a whole answer that is not streamed.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (t *writer) completion(e *ending) completion {
	return completion{
		ID: t.key, Object: "chat.completion", Model: t.session.model, Usage: e.usage,
		Choices: []choice{{Message: message{"assistant", t.text.String()}, FinishReason: "stop"}},
	}
}

// refused tells a refusal. In a stream that has begun it is an explicit error
// event, and no end marker follows.
func (t *writer) refused(e *ending) {
	if !t.started {
		writeRefusal(t.response, e.refusal)
		return
	}
	raw := mustMarshal(failureOf(e.refusal))
	t.event(raw)
	t.flush()
}

func (t *writer) answer(e *ending) {
	if e.answer.ContentType != "" {
		t.response.Header().Set("Content-Type", e.answer.ContentType)
	}
	t.response.WriteHeader(e.answer.Status)
	t.response.Write(e.answer.Body)
}

// forward passes the caller's request to another VM and its answer back.
func (t *writer) forward(e *ending) {
	outcome := t.relay(e)
	t.server.post(inbox.ForwardEnded{Request: t.session.ID, Outcome: outcome})
	if outcome == inbox.OutcomeAnswered {
		return
	}
	t.unanswered(outcome, e.mayHaveRun)
}

// relay sends the request on and copies the response.
func (t *writer) relay(e *ending) inbox.Outcome {
	r, err := http.NewRequestWithContext(t.request.Context(), t.request.Method, "https://"+e.peer.Address+t.request.URL.RequestURI(), bytes.NewReader(t.raw))
	if err != nil {
		return inbox.OutcomeNeverSent
	}
	r.Header = t.request.Header.Clone()
	r.Header.Set(HeaderKey, t.key)
	if e.mayHaveRun {
		r.Header.Set(headerMayHaveRun, "true")
	}
	trace := &sending{}
	response, err := t.server.forward.RoundTrip(r.WithContext(trace.context(r.Context())))
	if err != nil {
		return trace.outcome()
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		t.response.Header()[name] = values
	}
	t.response.WriteHeader(response.StatusCode)
	return t.copy(response.Body)
}

func (t *writer) copy(body io.Reader) inbox.Outcome {
	t.started = true
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			t.response.Write(buffer[:n])
			t.flush()
		}
		if err == io.EOF {
			return inbox.OutcomeAnswered
		}
		if err != nil {
			return inbox.OutcomeBroken
		}
	}
}

// hangUp ends a response so that the caller sees that it is not whole.
func hangUp(ctx context.Context) {
	if ctx.Err() == nil {
		panic(http.ErrAbortHandler)
	}
}
