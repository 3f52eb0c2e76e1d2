package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// chatRequest holds the fields of a chat-completions request that the engine
// reads.
type chatRequest struct {
	Model     string `json:"model"`
	User      string `json:"user"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// Request headers that extend the chat-completions protocol.
const (
	HeaderRunID    = "X-Run-Id"   // chosen by the client, to resume or cancel the run
	HeaderPriority = "X-Priority" // an integer; lower values are admitted first
	HeaderNotRun   = "X-Not-Run"  // in a response: the run of this id has not begun and will not
)

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("POST /v1/runs/{id}/resume", e.resume)
	mux.HandleFunc("POST /v1/runs/{id}/cancel", e.cancel)
	mux.HandleFunc("GET /load", e.showLoad)
	mux.HandleFunc("GET /admin/counts", e.showCounts)
	return mux
}

// chat submits a run and streams it. The usage in the response estimates the
// prompt at four bytes a token.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var c chatRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var prompt strings.Builder
	for _, m := range c.Messages {
		prompt.WriteString(m.Content)
	}
	id := r.Header.Get(HeaderRunID)
	if id == "" {
		id = uuid.NewString()
	}
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	run := e.Submit(id, c.User, prompt.String(), c.MaxTokens, priority)
	if run == nil {
		w.Header().Set(HeaderNotRun, id)
		http.Error(w, "queue is full", http.StatusTooManyRequests)
		return
	}
	e.stream(w, r, id, 0, len(prompt.String())/4+1)
}

// resume streams a run from the token number in the offset parameter on. The
// usage repeats the promptTokens parameter.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil {
		http.Error(w, "offset is not a number", http.StatusBadRequest)
		return
	}
	promptTokens, _ := strconv.Atoi(r.URL.Query().Get("promptTokens"))
	e.stream(w, r, r.PathValue("id"), offset, promptTokens)
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) { e.Cancel(r.PathValue("id")) }

// stream sends a run's tokens as server-sent events until the run ends. The run
// continues when the client disconnects, so that it can be resumed.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, offset, promptTokens int) {
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	sent := offset
	for {
		tokens, done, changed, ok := e.Follow(id, sent)
		if !ok {
			http.Error(w, "no such run", http.StatusNotFound)
			return
		}
		for _, t := range tokens {
			content, _ := json.Marshal(t)
			fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}`+"\n\n", id, content)
			sent++
		}
		if done {
			break
		}
		controller.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\n", id)
	fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n",
		id, promptTokens, sent, promptTokens+sent)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) showLoad(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(e.Load())
}

func (e *Engine) showCounts(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(e.Counts())
}
