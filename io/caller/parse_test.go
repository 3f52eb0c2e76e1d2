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
		{"half of an object", `{"model":"small",`, "malformedJson"},
		{"a list", `[]`, "malformedJson"},
		{"a wrong type", `{"model":"small","max_tokens":"many"}`, "malformedJson"},
		{"no model", `{"messages":[{"content":"x"}]}`, "missingModel"},
		{"no messages", `{"model":"small"}`, "missingMessages"},
		{"a negative limit", `{"model":"small","messages":[{"content":"x"}],"max_tokens":-1}`, "badLimit"},
		{"a misspelt field", `{"model":"small","messAges":[{"content":"x"}],"max_tokens":1}`, "malformedJson"},
		{"many choices", `{"model":"small","messages":[{"content":"x"}],"max_tokens":1,"n":3}`, "manyChoices"},
	} {
		It("refuses "+c.name, func() {
			_, _, _, bad := ParseChat([]byte(c.body))
			Expect(bad).NotTo(BeNil())
			Expect(bad.Code).To(Equal(c.code))
		})
	}

	It("bounds the prompt by its bytes, and does not mind how the answer is delivered", func() {
		whole, stream, _, bad := ParseChat([]byte(`{"model":"small","max_tokens":7,"messages":[{"role":"user","content":"loft height?"}]}`))
		Expect(bad).To(BeNil())
		Expect(stream).To(BeFalse())
		Expect(whole.MaxTokens).To(Equal(int64(7)))
		Expect(whole.PromptTokens).To(BeNumerically(">=", len("loft height?")))
		parts, stream, body, bad := ParseChat([]byte(`{"stream":true,"messages":[{"role":"user","content":"loft height?"}],"max_tokens":7,"model":"small"}`))
		Expect(bad).To(BeNil())
		Expect(stream).To(BeTrue())
		Expect(parts.Fingerprint).To(Equal(whole.Fingerprint))
		Expect(string(body)).To(ContainSubstring(`"include_usage":true`))
	})
})

// FuzzParseChat: what is accepted has a bound that covers its text, and a
// body for the endpoint that is JSON.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"small","max_tokens":7,"messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"s","messages":[{"content":[{"type":"text","text":"y"}]}],"max_completion_tokens":3,"stream":true}`))
	f.Add([]byte(`{"messages":null,"n":2}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, _, body, bad := ParseChat(raw)
		if bad != nil {
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
