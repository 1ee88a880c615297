package server_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/faker"
)

// TestCallThatCrashesServicesIsQuarantined sends one call again and again, through both
// VMs in turn, and a sound one after each. Crashed instances are back before the next.
func TestCallThatCrashesServicesIsQuarantined(t *testing.T) {
	const crashing, downTime, interval, allowedRuns = "/orders/stock/crash", 2 * time.Second, 6 * time.Second, 3
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			runOnSite(t, nil, func(s *site) {
				for _, service := range s.services {
					service.SetFaults(faker.ServiceFaults{CrashOn: crashing})
				}
				body := ""
				if method == http.MethodPost {
					body = "7"
				}
				var last reply
				for i := range 6 {
					last = s.call(s.background(), request{vm: i % 2, method: method, path: crashing, body: body})
					time.Sleep(downTime)
					for _, service := range s.services {
						s.Expect(service.Restart()).To(Succeed())
					}
					time.Sleep(interval)
					sound := s.call(s.background(), request{vm: i % 2, method: method, path: fmt.Sprint("/orders/stock/", i), body: body})
					s.Expect(sound.status).To(Equal(http.StatusOK))
				}
				s.Expect(s.runCount(crashing)).To(BeNumerically("<=", allowedRuns))
				s.Expect(last.body).To(ContainSubstring("Quarantined"))
			})
		})
	}
}
