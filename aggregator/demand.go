package aggregator

// Demand is what requests ask of the runners of one pool, on one VM or in the whole fleet.
type Demand struct {
	// Waiting is the number of requests that wait for room, by rank; 0 is the most urgent.
	Waiting []int
	// Granted and Refused are the requests that get room in a second, and those that are
	// refused for lack of it.
	Granted, Refused float64
	// Rejected are the calls that runners reject for lack of room in a second: in pools with
	// engines reservations, else requests. There may be several for one request.
	Rejected float64
}
