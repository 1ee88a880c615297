package admitter

// Prefer says what weighs more where the two measures conflict.
type Prefer string

// The preferences of a deployment.
const (
	// PreferWastedPrefill starts a prefill only on memory that is free or
	// will be free in time with near certainty.
	PreferWastedPrefill Prefer = "WastedPrefill"
	// PreferGoodput starts a prefill on memory that is likely to be free.
	PreferGoodput Prefer = "Goodput"
)
