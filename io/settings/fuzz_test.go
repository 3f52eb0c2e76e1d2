package settings

import "testing"

// FuzzParseGateway parses settings files of any content. What parses is written again
// without a loss.
func FuzzParseGateway(f *testing.F) {
	f.Add([]byte("HAWTHORNSPAR_NAME=vm\nHAWTHORNSPAR_LISTEN=127.0.0.1:80\n"))
	f.Add([]byte(Gateway{Name: "vm", Listen: "127.0.0.1:1"}.Text()))
	f.Add([]byte("=\n\x00#"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		g, err := ParseGateway(raw)
		if err != nil {
			return
		}
		if again, err := ParseGateway([]byte(g.Text())); err != nil || again.Text() != g.Text() {
			t.Errorf("%q is written as %q, which is read as %q: %v", raw, g.Text(), again.Text(), err)
		}
	})
}
