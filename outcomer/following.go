package outcomer

// Following is the last outcome of a request with earlier attempts, whose
// runs it can't deny. It is told as Last, but for Ran.
type Following struct {
	sealed
	Last Outcome
	// Earlier is what is known of the earlier attempts, not RanNo.
	Earlier Ran
}

// After returns the outcome of a request whose earlier attempts ended as
// earlier says. Use it for every request that was tried more than once.
func After(earlier Ran, last Outcome) Outcome {
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
