package router

import (
	"context"
	"time"

	"github.com/figtrack/figtrack/authorizer"
	"github.com/figtrack/figtrack/identifier"
)

// QuotaDecision says whether a request may be sent by the quota of its workspace.
type QuotaDecision struct {
	Allowed bool
	// After is the time until the workspace probably has quota again; zero if Allowed.
	After time.Duration
}

// TakeQuota takes the cost of a request from the quota of its workspace. It allows every
// request: no quota is kept yet.
func (f *Fleet) TakeQuota(_ context.Context, _ authorizer.Workspace, _ float64) QuotaDecision {
	return QuotaDecision{Allowed: true}
}

// ReturnQuota gives back what TakeQuota took for a request that has not run.
func (f *Fleet) ReturnQuota(_ identifier.Workspace, _ float64) {}
