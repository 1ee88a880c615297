package outcomer

// Following is the last outcome of a request that may have run in an earlier
// attempt. It has the row of Last except for Ran, which must not deny that
// earlier run.
type Following struct {
	sealed
	Last Outcome
	// Earlier is what is known of the earlier attempts; never RanNo.
	Earlier Ran
}

// WithEarlier returns the outcome of a request: last, corrected by what is
// known of its earlier attempts. Use it for every request that was tried more
// than once.
func WithEarlier(earlier Ran, last Outcome) Outcome {
	if earlier == RanNo || earlier == "" {
		return last
	}
	return Following{Last: last, Earlier: earlier}
}

func (f Following) describe() Row {
	r := Describe(f.Last)
	if r.Ran == RanNo || f.Earlier == RanYes {
		r.Ran = f.Earlier
	}
	return r
}
