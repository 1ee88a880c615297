package aggregator

// Demand is what the VMs of a fleet ask of the runners of one pool.
type Demand struct {
	// Waiting is the number of requests that wait for room, by rank; 0 is the most urgent.
	Waiting []int
	// Granted and Refused are the calls that runners grant and refuse in a second: in pools
	// with engines the reservations, else the requests. Several may be refused for one
	// request.
	Granted, Refused float64
}
