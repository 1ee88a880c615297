package orderer

// CallsPerOrder is the number of store reads, and also of store writes, for one
// order that loads weights: the runner's record and the load budget.
const CallsPerOrder = 2

// Calls is the rate of the orderer's store calls, in calls per second for the
// whole fleet.
type Calls struct{ Reads, Writes float64 }

// CallsOf returns the peak rate of store calls, while all runners wait for a new
// version: orders run at the rate of the load budget, and each waiting runner
// asks for a load once per window. A settled runner makes no store calls.
func CallsOf(runners, loadsPerWindow int) Calls {
	window := BudgetWindow.Seconds()
	loads := float64(min(runners, loadsPerWindow)) / window
	return Calls{
		Reads:  CallsPerOrder*loads + float64(runners)/window,
		Writes: CallsPerOrder * loads,
	}
}
