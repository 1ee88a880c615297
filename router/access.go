package router

import (
	"context"
	"time"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/authorizer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/matcher"
)

// Credentials say who a request comes from.
type Credentials struct {
	// Key is the API key that the caller sent; zero for none.
	Key authorizer.Key
	// IsChecked is true once Key was checked against a configuration that names
	// workspaces. What the caller says of its workspace, and its key, are kept from
	// runners then.
	IsChecked bool
	// Workspace is the workspace of Key; empty if it isn't checked, or if the route is
	// public and the key missing or unknown.
	Workspace identifier.Workspace
	// quotaCost is what the request has taken from the quota of Workspace; zero for nothing.
	quotaCost float64
}

// Unauthorized states that the route needs the key of a workspace, and that the request has
// none or an unknown one.
type Unauthorized struct{}

// OverQuota states that the request isn't run, as its workspace has used up its quota.
type OverQuota struct {
	// After is the time after which the caller may try again.
	After time.Duration
}

func (Unauthorized) reply() {}
func (OverQuota) reply()    {}

// checkAccess sets the workspace of a request. It returns the reply to a request that may not
// use its route; nil for one that may.
func (r *Router) checkAccess(q *Request, route matcher.Route, c *Configuration) (authorizer.Workspace, Reply) {
	if c.Workspaces == nil {
		return authorizer.Workspace{}, nil
	}
	q.IsChecked = true
	w, isKnown := c.Workspaces.Lookup(q.Key)
	q.Workspace = w.ID
	switch {
	case isKnown || route.IsPublic:
		return w, nil
	case !r.fleet.IsCertain(time.Now()):
		// A newer configuration may have the key.
		return w, NotRun{Reason: reasonOldView, After: notReadyRetryAfter}
	default:
		return w, Unauthorized{}
	}
}

// takeQuota takes the cost of a request from the quota of its workspace, if it has one. It
// returns the reply to a request beyond the quota; nil for one within it.
func (r *Router) takeQuota(ctx context.Context, q *Request, w authorizer.Workspace, job attempter.Job) Reply {
	if w.ID == "" {
		return nil
	}
	cost := w.Quota.Cost(q.Prompt.Input, q.Prompt.Output)
	if d := r.fleet.TakeQuota(ctx, w, cost, quotaWait(job)); !d.IsAllowed {
		return OverQuota{After: d.After}
	}
	q.quotaCost = cost
	return nil
}

// quotaWaitDivisor divides the target of a request: it waits for quota so long, as the rest
// has to suffice for its answer. After the death of a coordinator credit comes again within
// some tenths of a second.
const quotaWaitDivisor = 4

// quotaWait returns how long a request may wait for quota. A stream of which the caller has a
// part waits like one without memory.
func quotaWait(job attempter.Job) time.Duration {
	if job.IsTakenUp {
		return attempter.ResumeWait
	}
	return job.Target / quotaWaitDivisor
}

// returnQuota gives back the quota of a request that has not run.
func (r *Router) returnQuota(q *Request) {
	if q.quotaCost > 0 {
		r.fleet.ReturnQuota(q.Workspace, q.quotaCost)
	}
	q.quotaCost = 0
}

// priorityOf returns the priority of a request: its workspace's if that has one, else its
// route's.
func priorityOf(w authorizer.Workspace, route matcher.Route) int {
	if w.HasPriority {
		return w.Priority
	}
	return route.Priority
}
