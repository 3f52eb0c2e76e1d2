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

// Limits on callers' requests, and constants of the hash and the token bound of
// a prompt.
const (
	maxBodyBytes           = 1 << 20
	maxIdempotencyKeyBytes = 200
	hashedPromptBytes      = 256 // bytes at the start of a prompt that are hashed
	promptTemplateTokens   = 16  // bound on the tokens that a chat template adds to a prompt
	messageTemplateTokens  = 8   // bound on the tokens that a chat template adds to each message
)

// chatRequest holds the fields of a chat-completions request that routing needs.
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

// jsonObject is a JSON object whose values are passed on without being decoded.
type jsonObject map[string]json.RawMessage

// readBody reads a request body of at most maxBodyBytes.
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

// ParseChat validates the body of a chat-completions request and computes an
// upper bound on its tokens. It returns the submission, whether the caller asked
// for a stream, and the body for the endpoint, which always asks for a stream
// with token usage. The fingerprint ignores the fields that only select how the
// response is delivered.
func ParseChat(raw []byte) (entity.Submission, bool, []byte, *InputError) {
	var c chatRequest
	if err := json.Unmarshal(raw, &c); err != nil {
		return entity.Submission{}, false, nil, &InputError{"malformedJson", "the body is not a chat-completions request: " + err.Error(), http.StatusBadRequest}
	}
	if e := c.validate(); e != nil {
		return entity.Submission{}, false, nil, e
	}
	var object jsonObject
	if err := json.Unmarshal(raw, &object); err != nil {
		return entity.Submission{}, false, nil, &InputError{"malformedJson", "the body is not an object", http.StatusBadRequest}
	}
	if e := object.checkCase(); e != nil {
		return entity.Submission{}, false, nil, e
	}
	limit := max(c.MaxTokens, c.MaxCompletionTokens)
	s := entity.Submission{
		Service: c.Model, PromptTokens: c.maxPromptTokens(object), MaxTokens: limit,
		Prefix: c.promptPrefixHash(),
	}
	delete(object, "stream")
	delete(object, "stream_options")
	canonical, _ := json.Marshal(object)
	s.Fingerprint = fingerprint([]byte("chat"), canonical)
	object["stream"] = json.RawMessage("true")
	object["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body, _ := json.Marshal(object)
	return s, c.Stream, body, nil
}

func (c *chatRequest) validate() *InputError {
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

// nonPromptFields lists the fields that never become part of the prompt. These
// names and "messages" are accepted only in exactly this case: Go and some
// engines match JSON names case-insensitively, and would read a different
// request than the one whose tokens were bounded.
var nonPromptFields = []string{
	"model", "user", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n",
	"temperature", "top_p", "seed", "stop", "presence_penalty", "frequency_penalty",
}

// caseSensitiveFields lists the field names whose case is checked.
var caseSensitiveFields = append(slices.Clone(nonPromptFields), "messages")

// checkCase returns an error if a field's name differs only in case from one in
// caseSensitiveFields.
func (o jsonObject) checkCase() *InputError {
	for name := range o {
		for _, field := range caseSensitiveFields {
			if name != field && strings.EqualFold(name, field) {
				return &InputError{"malformedJson", "the field " + field + " is misspelt", http.StatusBadRequest}
			}
		}
	}
	return nil
}

// maxPromptTokens returns an upper bound on the prompt's tokens: one for each
// byte of every field that the engine may put into the prompt, and those that
// the chat template adds.
func (c *chatRequest) maxPromptTokens(object jsonObject) int64 {
	n := int64(promptTemplateTokens)
	for name, value := range object {
		if !slices.Contains(nonPromptFields, name) {
			n += int64(len(value))
		}
	}
	return n + messageTemplateTokens*int64(len(c.Messages))
}

// promptPrefixHash returns a hash of the prompt's first bytes. Engines cache
// prompts by their prefix, so that requests with equal hashes can share a cache.
func (c *chatRequest) promptPrefixHash() uint64 {
	var start strings.Builder
	for _, m := range c.Messages {
		start.Write(m.Content)
		if start.Len() >= hashedPromptBytes {
			break
		}
	}
	text := start.String()
	return xxhash.Sum64String(text[:min(len(text), hashedPromptBytes)])
}

// fingerprint returns a hash of a request's content. A zero byte ends each part,
// so that the same bytes split in another way give another hash.
func fingerprint(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// HashSecret returns the SHA-256 of a secret in hexadecimal. Secrets are stored
// and compared only in this form.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// bearerSecretHash returns the hash of the bearer token in the request's
// Authorization header, or "" if there is none.
func bearerSecretHash(r *http.Request) string {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return ""
	}
	return HashSecret(secret)
}
