package scenarios

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clientRequest is a request of a client and its outcome.
type clientRequest struct {
	name, account, idempotencyKey string

	url    string
	body   string
	stream bool
	ref    string // order reference or user field, by which endpoints count runs
	order  bool

	mu             sync.Mutex // guards the outcome while the request runs
	text           string     // content received so far
	status         int
	code           string // error code, if any
	notRun         bool   // the response says that no endpoint ran the request
	complete       bool   // the response is complete and its content intact
	usage          int64  // total tokens as reported in the body
	billed         int64
	transportError string
	corrupt        bool // the response ended normally, but its content is not from one run

	done       chan struct{} // closed when the request has ended
	disconnect func()        // closes the client's connection
	received   chan struct{} // holds a value after a stream event has arrived
}

// chatBody returns a chat-completions request whose response has the given
// number of tokens.
func chatBody(user string, tokens, limit int, extra string, stream bool) string {
	prompt := fmt.Sprintf("answer:%d %s %s", tokens, user, extra)
	raw, _ := json.Marshal(map[string]any{
		"model": "small", "user": user, "max_tokens": limit, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return string(raw)
}

// run sends the request and reads the response. It closes done at the end.
func (r *clientRequest) run(secret string) {
	defer close(r.done)
	request, err := http.NewRequest(http.MethodPost, r.url, strings.NewReader(r.body))
	if err != nil {
		r.transportError = err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Content-Type", "application/json")
	if r.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	ctx := request.Context()
	client := &http.Client{Transport: transport, Timeout: 90 * time.Second}
	r.mu.Lock()
	r.disconnect = transport.CloseIdleConnections
	r.mu.Unlock()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		r.mu.Lock()
		r.transportError = err.Error()
		r.mu.Unlock()
		return
	}
	defer response.Body.Close()
	r.mu.Lock()
	r.disconnect = func() { response.Body.Close() }
	r.status = response.StatusCode
	r.notRun = response.Header.Get("Hawthornspar-Not-Run") == "true"
	r.billed, _ = strconv.ParseInt(response.Header.Get("Hawthornspar-Billed"), 10, 64)
	if r.idempotencyKey == "" {
		r.idempotencyKey = response.Header.Get("Idempotency-Key")
	}
	r.mu.Unlock()
	if r.stream && response.StatusCode == http.StatusOK {
		r.readStream(response.Body)
		return
	}
	raw, err := io.ReadAll(response.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.transportError = err.Error()
		return
	}
	r.parseBody(raw)
}

// responseBody is the part of a response body, or of a stream event, that the
// checks need.
type responseBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage struct {
		Total int64 `json:"total_tokens"`
	} `json:"usage"`
	Error struct {
		Code   string `json:"code"`
		NotRun bool   `json:"not_run"`
	} `json:"error"`
}

// parseBody records the outcome from the body of a response that is not
// streamed.
func (r *clientRequest) parseBody(raw []byte) {
	var parsed responseBody
	json.Unmarshal(raw, &parsed)
	r.code = parsed.Error.Code
	if r.order {
		r.text = string(raw)
		r.complete = r.status == http.StatusOK && strings.Contains(r.text, strconv.Quote(r.ref))
		return
	}
	if len(parsed.Choices) > 0 {
		r.text = parsed.Choices[0].Message.Content
	}
	r.usage = parsed.Usage.Total
	r.complete = r.status == http.StatusOK && fromOneRun(r.text)
	r.corrupt = r.status == http.StatusOK && !r.complete
}

// readStream records the outcome from the events of a stream.
func (r *clientRequest) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	finished := false
	for lines.Scan() {
		line := lines.Bytes()
		if billed, ok := bytes.CutPrefix(line, []byte(": billed=")); ok {
			n, _ := strconv.ParseInt(string(billed), 10, 64)
			r.mu.Lock()
			r.billed = n
			r.mu.Unlock()
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			finished = true
			continue
		}
		var parsed responseBody
		json.Unmarshal(data, &parsed)
		r.mu.Lock()
		if parsed.Error.Code != "" {
			r.code, r.notRun = parsed.Error.Code, parsed.Error.NotRun
		}
		if len(parsed.Choices) > 0 {
			r.text += parsed.Choices[0].Delta.Content
		}
		if parsed.Usage.Total > 0 {
			r.usage = parsed.Usage.Total
		}
		r.mu.Unlock()
		select {
		case r.received <- struct{}{}:
		default:
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := lines.Err(); err != nil {
		r.transportError = err.Error()
	}
	r.complete = finished && fromOneRun(r.text)
	r.corrupt = finished && !r.complete
}

// fromOneRun reports whether content ends with a token that holds its
// checksum, and all of its tokens are numbered in order. The engine stand-in
// writes content in this form.
func fromOneRun(content string) bool {
	body, sum, ok := strings.Cut(content, "sum:")
	if !ok || strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(body))), 16) != sum {
		return false
	}
	for i, word := range strings.Fields(body) {
		if !strings.HasPrefix(word, "w"+strconv.Itoa(i)+".") {
			return false
		}
	}
	return true
}

// outcome returns the state of the request in the FIELD=VALUE form of expect.
func (r *clientRequest) outcome() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("status=%d code=%s notRun=%v whole=%v usage=%d billed=%d failure=%q text=%.80q",
		r.status, r.code, r.notRun, r.complete, r.usage, r.billed, r.transportError, r.text)
}
