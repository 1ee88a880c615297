package admitter

// Prefer selects the measure that has priority when avoiding wasted prefills
// conflicts with goodput.
type Prefer string

// The values of Prefer in the settings of a deployment.
const (
	// PreferWastedPrefill starts a prefill only if decode memory is free or
	// almost certain to become free in time.
	PreferWastedPrefill Prefer = "WastedPrefill"
	// PreferGoodput starts a prefill if decode memory is likely to become free
	// in time.
	PreferGoodput Prefer = "Goodput"
)
