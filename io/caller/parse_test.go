package caller

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ParseChat", func() {
	for _, c := range []struct{ name, body, code string }{
		{"no JSON", `hello`, "malformedJson"},
		{"a truncated object", `{"model":"small",`, "malformedJson"},
		{"a list", `[]`, "malformedJson"},
		{"a wrong type", `{"model":"small","max_tokens":"many"}`, "malformedJson"},
		{"no model", `{"messages":[{"content":"x"}]}`, "missingModel"},
		{"no messages", `{"model":"small"}`, "missingMessages"},
		{"a negative limit", `{"model":"small","messages":[{"content":"x"}],"max_tokens":-1}`, "badLimit"},
		{"a misspelt field", `{"model":"small","messAges":[{"content":"x"}],"max_tokens":1}`, "malformedJson"},
		{"many choices", `{"model":"small","messages":[{"content":"x"}],"max_tokens":1,"n":3}`, "manyChoices"},
	} {
		It("refuses "+c.name, func() {
			_, _, _, inputErr := ParseChat([]byte(c.body))
			Expect(inputErr).NotTo(BeNil())
			Expect(inputErr.Code).To(Equal(c.code))
		})
	}

	It("bounds the prompt's tokens by its bytes, and gives streamed and complete responses the same fingerprint", func() {
		complete, stream, _, inputErr := ParseChat([]byte(`{"model":"small","max_tokens":7,"messages":[{"role":"user","content":"loft height?"}]}`))
		Expect(inputErr).To(BeNil())
		Expect(stream).To(BeFalse())
		Expect(complete.MaxTokens).To(Equal(int64(7)))
		Expect(complete.PromptTokens).To(BeNumerically(">=", len("loft height?")))
		streamed, stream, body, inputErr := ParseChat([]byte(`{"stream":true,"messages":[{"role":"user","content":"loft height?"}],"max_tokens":7,"model":"small"}`))
		Expect(inputErr).To(BeNil())
		Expect(stream).To(BeTrue())
		Expect(streamed.Fingerprint).To(Equal(complete.Fingerprint))
		Expect(string(body)).To(ContainSubstring(`"include_usage":true`))
	})
})

// FuzzParseChat checks that each accepted request has a token bound that covers
// its text, and that the body for the endpoint is valid JSON.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"small","max_tokens":7,"messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"s","messages":[{"content":[{"type":"text","text":"y"}]}],"max_completion_tokens":3,"stream":true}`))
	f.Add([]byte(`{"messages":null,"n":2}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, _, body, inputErr := ParseChat(raw)
		if inputErr != nil {
			return
		}
		var c chatRequest
		if err := json.Unmarshal(body, &c); err != nil {
			t.Fatalf("body for the endpoint: %v", err)
		}
		var text int64
		for _, m := range c.Messages {
			text += int64(len(m.Content))
		}
		if s.PromptTokens < text || s.MaxTokens < 0 {
			t.Fatalf("%d tokens do not bound %d bytes", s.PromptTokens, text)
		}
	})
}
