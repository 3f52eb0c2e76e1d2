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

// send is one caller's request and what came of it.
type send struct {
	name, account, key string
	url                string
	body               string
	stream             bool
	ref                string // order reference or user tag, which endpoints count
	order              bool
	mu                 sync.Mutex
	text               string
	status             int
	code               string // error code, if any
	notRun             bool
	whole              bool // the answer arrived whole, with its own checksum
	usage              int64
	billed             int64
	failure            string // transport failure
	spliced            bool   // it ended like a whole answer, but is not one run's
	done               chan struct{}
	hangUp             func()
	tokens             chan struct{}
}

// chatBody builds a chat-completions request whose answer has so many tokens.
func chatBody(tag string, answer, limit int, extra string, stream bool) string {
	prompt := fmt.Sprintf("answer:%d %s %s", answer, tag, extra)
	raw, _ := json.Marshal(map[string]any{
		"model": "small", "user": tag, "max_tokens": limit, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return string(raw)
}

func (s *send) run(secret string) {
	defer close(s.done)
	request, err := http.NewRequest(http.MethodPost, s.url, strings.NewReader(s.body))
	if err != nil {
		s.failure = err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Content-Type", "application/json")
	if s.key != "" {
		request.Header.Set("Idempotency-Key", s.key)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	ctx := request.Context()
	client := &http.Client{Transport: transport, Timeout: 90 * time.Second}
	s.mu.Lock()
	s.hangUp = transport.CloseIdleConnections
	s.mu.Unlock()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		s.mu.Lock()
		s.failure = err.Error()
		s.mu.Unlock()
		return
	}
	defer response.Body.Close()
	s.mu.Lock()
	s.hangUp = func() { response.Body.Close() }
	s.status = response.StatusCode
	s.notRun = response.Header.Get("Hawthornspar-Not-Run") == "true"
	s.billed, _ = strconv.ParseInt(response.Header.Get("Hawthornspar-Billed"), 10, 64)
	if s.key == "" {
		s.key = response.Header.Get("Idempotency-Key")
	}
	s.mu.Unlock()
	if s.stream && response.StatusCode == http.StatusOK {
		s.readStream(response.Body)
		return
	}
	raw, err := io.ReadAll(response.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failure = err.Error()
		return
	}
	s.readWhole(raw)
}

type answerBody struct {
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

func (s *send) readWhole(raw []byte) {
	var a answerBody
	json.Unmarshal(raw, &a)
	s.code = a.Error.Code
	if s.order {
		s.text = string(raw)
		s.whole = s.status == http.StatusOK && strings.Contains(s.text, strconv.Quote(s.ref))
		return
	}
	if len(a.Choices) > 0 {
		s.text = a.Choices[0].Message.Content
	}
	s.usage = a.Usage.Total
	s.whole = s.status == http.StatusOK && checksumHolds(s.text)
	s.spliced = s.status == http.StatusOK && !s.whole
}

func (s *send) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	finished := false
	for lines.Scan() {
		line := lines.Bytes()
		if billed, ok := bytes.CutPrefix(line, []byte(": billed=")); ok {
			n, _ := strconv.ParseInt(string(billed), 10, 64)
			s.mu.Lock()
			s.billed = n
			s.mu.Unlock()
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			finished = true
			continue
		}
		var a answerBody
		json.Unmarshal(data, &a)
		s.mu.Lock()
		if a.Error.Code != "" {
			s.code, s.notRun = a.Error.Code, a.Error.NotRun
		}
		if len(a.Choices) > 0 {
			s.text += a.Choices[0].Delta.Content
		}
		if a.Usage.Total > 0 {
			s.usage = a.Usage.Total
		}
		s.mu.Unlock()
		select {
		case s.tokens <- struct{}{}:
		default:
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := lines.Err(); err != nil {
		s.failure = err.Error()
	}
	s.whole = finished && checksumHolds(s.text)
	s.spliced = finished && !s.whole
}

// checksumHolds checks an answer against the checksum in its last token, and
// that all of its tokens come from one run.
func checksumHolds(text string) bool {
	body, sum, ok := strings.Cut(text, "sum:")
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

// seen returns a copy of what is known so far.
func (s *send) seen() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("status=%d code=%s notRun=%v whole=%v usage=%d billed=%d failure=%q text=%.80q",
		s.status, s.code, s.notRun, s.whole, s.usage, s.billed, s.failure, s.text)
}
