package driver_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/driver"
)

// TestOnlyValidRefusalsAreTrusted checks that only a valid refusal counts as
// proof that the engine did not act.
func TestOnlyValidRefusalsAreTrusted(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		kind   driver.Kind
	}{
		{"full", http.StatusConflict, `{"Kind":"Full"}`, driver.KindFull},
		{"leaving", http.StatusServiceUnavailable, `{"Kind":"Leaving"}`, driver.KindLeaving},
		{"not run", http.StatusServiceUnavailable, `{"Kind":"NotRun"}`, driver.KindNotRun},
		{"a middle box", http.StatusServiceUnavailable, `try later`, driver.KindUnknown},
		{"a kind that no engine states", http.StatusConflict, `{"Kind":"Quarantined"}`, driver.KindUnknown},
		{"a server error", http.StatusInternalServerError, `{"Kind":"NotRun"}`, driver.KindUnknown},
		{"another attempt's answer", http.StatusOK, `{"Hold":{"VM":"vm-1","Incarnation":1,"Request":"b","Attempt":1}}`, driver.KindUnknown},
		{"half an answer", http.StatusOK, `{"Hold":{"VM":`, driver.KindUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			_, err := driver.NewHTTP("prefill-1", server.URL, server.Client()).Prefill(t.Context(), prefillOrder("a"))
			g.Expect(kindOf(err)).To(Equal(c.kind))
		})
	}
}
