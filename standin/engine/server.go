package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// chatRequest is the part of the chat-completions protocol that is used.
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

// Headers of the engine's protocol beside chat-completions.
const (
	HeaderRunID    = "X-Run-Id"
	HeaderPriority = "X-Priority"
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
		http.Error(w, "queue is full", http.StatusTooManyRequests)
		return
	}
	e.stream(w, r, id, 0, len(prompt.String())/4+1)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil {
		http.Error(w, "offset is not a number", http.StatusBadRequest)
		return
	}
	prompt, _ := strconv.Atoi(r.URL.Query().Get("promptTokens"))
	e.stream(w, r, r.PathValue("id"), offset, prompt)
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) { e.Cancel(r.PathValue("id")) }

// stream sends a run's tokens as server-sent events until it ends. A run goes
// on when its reader goes away, so that it can be resumed.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, offset, promptTokens int) {
	flush := http.NewResponseController(w)
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
		flush.Flush()
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
