package orderer

// CallsPerOrder are the reads and as many writes of the store behind one
// order that loads weights: of the runner's record and of the load budget.
const CallsPerOrder = 2

// Calls are the orderer's calls of the store a second, for the whole fleet.
type Calls struct{ Reads, Writes float64 }

// CallsOf returns the most calls while all runners wait for a new version:
// orders run at the rate of the load budget, and each waiting runner asks
// for it once in a window. A runner that serves what it should costs none.
func CallsOf(runners, loadsPerWindow int) Calls {
	window := BudgetWindow.Seconds()
	loads := float64(min(runners, loadsPerWindow)) / window
	return Calls{
		Reads:  CallsPerOrder*loads + float64(runners)/window,
		Writes: CallsPerOrder * loads,
	}
}
