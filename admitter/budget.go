package admitter

const (
	// firstRetries is what a budget holds at the start.
	firstRetries = 50
	// maxRetries is the most that a budget saves up.
	maxRetries = 200
	// rounding allows for the sum of many small shares.
	rounding = 1e-6
)

// budget allows retries as a share of the fresh requests of one class.
type budget struct {
	share float64
	// left is from 0 to maxRetries.
	left float64
}

func newBudget(share float64) budget {
	return budget{share: share, left: firstRetries}
}

// fresh credits one fresh request.
func (b *budget) fresh() { b.left = min(maxRetries, b.left+b.share) }

// take spends one retry, or returns false if none is left.
func (b *budget) take() bool {
	if b.left < 1-rounding {
		return false
	}
	b.left = max(0, b.left-1)
	return true
}
