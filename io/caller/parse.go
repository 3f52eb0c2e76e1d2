package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"hawthornspar/core/entity"
)

// Bounds of callers' input.
const (
	maxBodyBytes    = 1 << 20
	maxKeyBytes     = 200
	prefixBytes     = 256
	tokensPerPrompt = 16 // added to a prompt's bound for the template
	tokensPerTurn   = 8  // added for each message
)

// chatRequest is the part of a chat-completions request that routing needs.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int64         `json:"max_tokens"`
	MaxCompletionTokens int64         `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	Choices             int64         `json:"n"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// fields holds a JSON object whose members pass through unread.
type fields map[string]json.RawMessage

// readBody reads a bounded body.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *InputError) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &InputError{"bodyTooLarge", "the body is larger than 1 MiB", http.StatusRequestEntityTooLarge}
	}
	if err != nil {
		return nil, &InputError{"bodyIncomplete", "the body did not arrive whole", http.StatusBadRequest}
	}
	return raw, nil
}

// ParseChat checks a chat-completions body and bounds its cost. Its prompt
// has at most one token for each byte.
func ParseChat(raw []byte) (entity.Submission, bool, []byte, *InputError) {
	var c chatRequest
	if err := json.Unmarshal(raw, &c); err != nil {
		return entity.Submission{}, false, nil, &InputError{"malformedJson", "the body is not a chat-completions request: " + err.Error(), http.StatusBadRequest}
	}
	if e := c.check(); e != nil {
		return entity.Submission{}, false, nil, e
	}
	var all fields
	if err := json.Unmarshal(raw, &all); err != nil {
		return entity.Submission{}, false, nil, &InputError{"malformedJson", "the body is not an object", http.StatusBadRequest}
	}
	if e := all.spelling(); e != nil {
		return entity.Submission{}, false, nil, e
	}
	limit := max(c.MaxTokens, c.MaxCompletionTokens)
	s := entity.Submission{
		Service: c.Model, PromptTokens: c.promptBound(all), MaxTokens: limit,
		Prefix: c.prefix(),
	}
	delete(all, "stream")
	delete(all, "stream_options")
	canonical, _ := json.Marshal(all)
	s.Fingerprint = fingerprint([]byte("chat"), canonical)
	all["stream"] = json.RawMessage("true")
	all["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body, _ := json.Marshal(all)
	return s, c.Stream, body, nil
}

func (c *chatRequest) check() *InputError {
	switch {
	case c.Model == "":
		return &InputError{"missingModel", "model is required", http.StatusBadRequest}
	case len(c.Messages) == 0:
		return &InputError{"missingMessages", "messages is required", http.StatusBadRequest}
	case c.MaxTokens < 0 || c.MaxCompletionTokens < 0:
		return &InputError{"badLimit", "max_tokens must be positive", http.StatusBadRequest}
	case c.Choices > 1:
		return &InputError{"manyChoices", "n above 1 is not offered", http.StatusBadRequest}
	}
	return nil
}

// outsidePrompt names the fields that never reach the prompt. Of these and of
// messages only this spelling is taken: Go and some engines match names in any
// case, and would see another request than the one that was bounded.
var outsidePrompt = []string{
	"model", "user", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n",
	"temperature", "top_p", "seed", "stop", "presence_penalty", "frequency_penalty",
}

// fixedNames are the names whose spelling is checked.
var fixedNames = append(slices.Clone(outsidePrompt), "messages")

// spelling returns an error for a name that differs in case from a known one.
func (f fields) spelling() *InputError {
	for name := range f {
		for _, known := range fixedNames {
			if name != known && strings.EqualFold(name, known) {
				return &InputError{"malformedJson", "the field " + known + " is misspelt", http.StatusBadRequest}
			}
		}
	}
	return nil
}

// promptBound is an upper bound of the prompt's tokens: one for each byte of
// everything that the engine may put into it.
func (c *chatRequest) promptBound(all fields) int64 {
	n := int64(tokensPerPrompt)
	for name, value := range all {
		if !slices.Contains(outsidePrompt, name) {
			n += int64(len(value))
		}
	}
	return n + tokensPerTurn*int64(len(c.Messages))
}

// prefix hashes the start of the prompt, on which engines' caches depend.
func (c *chatRequest) prefix() uint64 {
	var start strings.Builder
	for _, m := range c.Messages {
		start.Write(m.Content)
		if start.Len() >= prefixBytes {
			break
		}
	}
	text := start.String()
	return xxhash.Sum64String(text[:min(len(text), prefixBytes)])
}

// fingerprint identifies a request by its content.
func fingerprint(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// HashSecret returns the form in which a secret is stored and compared.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// secretOf returns the hash of the caller's secret.
func secretOf(r *http.Request) string {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return ""
	}
	return HashSecret(secret)
}
