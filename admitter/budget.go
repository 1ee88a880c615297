package admitter

const (
	// initialRetries is the number of retries available at the start.
	initialRetries = 50
	// maxSavedRetries is the most unused retries that a budget accumulates.
	maxSavedRetries = 200
	// roundingTolerance absorbs the floating-point error of adding many small
	// shares.
	roundingTolerance = 1e-6
)

// retryBudget limits the retries of one class to a share of its new requests.
type retryBudget struct {
	retriesPerRequest float64
	// left is the number of available retries, from 0 to maxSavedRetries.
	left float64
}

func newRetryBudget(share float64) retryBudget {
	return retryBudget{retriesPerRequest: share, left: initialRetries}
}

// credit adds the retries that one new request allows.
func (b *retryBudget) credit() { b.left = min(maxSavedRetries, b.left+b.retriesPerRequest) }

// trySpend spends one retry. It returns false if none is left.
func (b *retryBudget) trySpend() bool {
	if b.left < 1-roundingTolerance {
		return false
	}
	b.left = max(0, b.left-1)
	return true
}
