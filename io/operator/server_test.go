package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

var _ = Describe("A change without its content", func() {
	for _, body := range []string{`{}`, `{"operation":"a"}`, `{"change":null}`} {
		It("is refused as malformed: "+body, func() {
			w := httptest.NewRecorder()
			New(nil, nil).change(w, httptest.NewRequest(http.MethodPost, PathChange, strings.NewReader(body)))
			Expect(w.Code).To(Equal(http.StatusBadRequest))
		})
	}
})
