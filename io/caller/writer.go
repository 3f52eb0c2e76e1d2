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

// responseWriter writes one caller's response.
type responseWriter struct {
	server     *Server
	response   http.ResponseWriter
	request    *http.Request
	body       []byte // the body of the caller's request
	requestKey string
	session    *Session
	streaming  bool
	started    bool            // the headers of a stream or a relayed response are written
	text       strings.Builder // the text so far, unless it is streamed
}

// run writes the session's events until the session ends or the caller
// disconnects.
func (w *responseWriter) run() {
	offset, generation := 0, 0
	w.response.Header().Set(HeaderVM, w.server.vm)
	w.response.Header().Set(HeaderIdempotencyKey, w.requestKey)
	for {
		events, res, changed, current := w.session.eventsFrom(offset, generation)
		if current != generation {
			offset, generation = 0, current
			w.text.Reset()
		}
		if !w.markDelivered(offset+len(events), generation) {
			continue
		}
		if !w.writeEvents(events) {
			w.detach()
			return
		}
		offset += len(events)
		if res != nil && res.kind == resultJoined {
			w.detach()
			w.session, offset, generation = res.joinedSession, 0, 0
			continue
		}
		if res != nil {
			w.writeResult(res)
			w.detach()
			return
		}
		select {
		case <-changed:
		case <-w.request.Context().Done():
			w.detach()
			return
		}
	}
}

// markDelivered records that the first count events are about to be sent, and
// returns false if they were discarded. A caller that does not stream is sent
// nothing before the end, so that a further attempt may still replace the events.
func (w *responseWriter) markDelivered(count, generation int) bool {
	if !w.streaming {
		count = 0
	}
	return w.session.markDelivered(count, generation)
}

// detach leaves the session. The last caller removes it, and reports to the core
// if it has not ended.
func (w *responseWriter) detach() {
	last, ended := w.session.detach()
	if !last {
		return
	}
	w.server.removeSession(w.session.ID)
	if !ended {
		w.server.post(inbox.ClientDisconnected{Request: w.session.ID, Tokens: w.session.Delivered()})
	}
}

// writeEvents sends events to a streaming caller, or collects their text for any
// other. It returns false if the caller has disconnected.
func (w *responseWriter) writeEvents(events []streamEvent) bool {
	if len(events) == 0 {
		return true
	}
	if !w.streaming {
		for _, e := range events {
			w.text.WriteString(e.text)
		}
		return true
	}
	w.startStream()
	for _, e := range events {
		if !w.writeEvent(e.data) {
			return false
		}
	}
	return w.flush()
}

// startStream writes the headers of a stream, once.
func (w *responseWriter) startStream() {
	if w.started {
		return
	}
	w.started = true
	w.response.Header().Set("Content-Type", "text/event-stream")
	w.response.Header().Set("Cache-Control", "no-cache")
	w.response.WriteHeader(http.StatusOK)
}

// writeEvent sends one event, and returns false if that fails.
func (w *responseWriter) writeEvent(data []byte) bool {
	control := http.NewResponseController(w.response)
	control.SetWriteDeadline(w.server.clock.Now().Add(writeTimeout))
	_, err := fmt.Fprintf(w.response, "data: %s\n\n", data)
	return err == nil
}

// flush sends buffered bytes to the caller, and reports whether that succeeded.
func (w *responseWriter) flush() bool { return http.NewResponseController(w.response).Flush() == nil }

// writeResult completes the response for the session's result.
func (w *responseWriter) writeResult(res *result) {
	switch res.kind {
	case resultFinished:
		w.writeFinished(res)
	case resultRefused:
		w.writeRefused(res)
	case resultReplayed:
		w.writeAppResponse(res)
	case resultForwarded:
		w.forward(res)
	}
}

// writeFinished completes the response of a request that succeeded.
func (w *responseWriter) writeFinished(res *result) {
	switch {
	case w.session.Kind != "model":
		w.response.Header().Set(HeaderBilledTokens, strconv.FormatInt(res.billedTokens, 10))
		w.writeAppResponse(res)
	case w.streaming:
		w.startStream()
		for _, e := range res.finalEvents {
			w.writeEvent(e.data)
		}
		fmt.Fprintf(w.response, ": billed=%d\n\n", res.billedTokens)
		w.writeEvent([]byte("[DONE]"))
		w.flush()
	default:
		w.response.Header().Set(HeaderBilledTokens, strconv.FormatInt(res.billedTokens, 10))
		writeJSON(w.response, http.StatusOK, w.completion(res))
	}
}

// chatCompletion is the response to a chat-completions request without streaming.
type chatCompletion struct {
	ID      string                 `json:"id"`
	Object  string                 `json:"object"`
	Model   string                 `json:"model"`
	Choices []chatCompletionChoice `json:"choices"`
	Usage   tokenUsage             `json:"usage"`
}

type chatCompletionChoice struct {
	Index        int                   `json:"index"`
	Message      chatCompletionMessage `json:"message"`
	FinishReason string                `json:"finish_reason"`
}

type chatCompletionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion returns the response for a caller that does not stream.
func (w *responseWriter) completion(res *result) chatCompletion {
	return chatCompletion{
		ID: w.requestKey, Object: "chat.completion", Model: w.session.model, Usage: res.usage,
		Choices: []chatCompletionChoice{{Message: chatCompletionMessage{"assistant", w.text.String()}, FinishReason: "stop"}},
	}
}

// writeRefused writes a refusal. In a stream that has begun, it is an error event
// without the [DONE] marker after it.
func (w *responseWriter) writeRefused(res *result) {
	if !w.started {
		writeRefusal(w.response, res.refusal)
		return
	}
	raw := mustMarshal(newErrorResponse(res.refusal))
	w.writeEvent(raw)
	w.flush()
}

// writeAppResponse writes the response of an app service.
func (w *responseWriter) writeAppResponse(res *result) {
	if res.response.ContentType != "" {
		w.response.Header().Set("Content-Type", res.response.ContentType)
	}
	w.response.WriteHeader(res.response.Status)
	w.response.Write(res.response.Body)
}

// forward relays the caller's request to another VM, reports the outcome to the
// core, and refuses the request if there is no complete response.
func (w *responseWriter) forward(res *result) {
	outcome := w.relay(res)
	w.server.post(inbox.ForwardEnded{Request: w.session.ID, Outcome: outcome})
	if outcome == inbox.OutcomeCompleted {
		return
	}
	w.failForward(outcome, res.mayHaveRun)
}

// relay sends the caller's request to another VM and copies the response.
func (w *responseWriter) relay(res *result) inbox.Outcome {
	r, err := http.NewRequestWithContext(w.request.Context(), w.request.Method, "https://"+res.peer.Address+w.request.URL.RequestURI(), bytes.NewReader(w.body))
	if err != nil {
		return inbox.OutcomeNotSent
	}
	r.Header = w.request.Header.Clone()
	r.Header.Set(HeaderIdempotencyKey, w.requestKey)
	r.Header.Del(headerMayHaveRun) // only VMs say so
	if res.mayHaveRun {
		r.Header.Set(headerMayHaveRun, "true")
	}
	r.Header.Del(headerCrashedEndpoint)
	for _, name := range res.crashedEndpoints {
		r.Header.Add(headerCrashedEndpoint, name)
	}
	trace := &connectionTrace{}
	response, err := w.server.forwarder.RoundTrip(r.WithContext(trace.attach(r.Context())))
	if err != nil {
		return trace.failureOutcome()
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.response.Header()[name] = values
	}
	w.response.WriteHeader(response.StatusCode)
	return w.copyBody(response.Body)
}

// copyBody copies the body of a relayed response, and flushes each chunk at once
// so that streams are not delayed.
func (w *responseWriter) copyBody(body io.Reader) inbox.Outcome {
	w.started = true
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			w.response.Write(buffer[:n])
			w.flush()
		}
		if err == io.EOF {
			return inbox.OutcomeCompleted
		}
		if err != nil {
			return inbox.OutcomeConnectionFailed
		}
	}
}

// abortResponse aborts the connection so that the caller sees a truncated
// response. It does nothing if the caller has disconnected.
func abortResponse(ctx context.Context) {
	if ctx.Err() == nil {
		panic(http.ErrAbortHandler)
	}
}
