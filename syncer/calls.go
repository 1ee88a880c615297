package syncer

import "time"

// ChangesPerDay is the rate of accepted changes to design for.
const ChangesPerDay = 1600

// Calls are the calls of the store by one purpose, for the whole fleet.
type Calls struct {
	// Reads and Writes are calls a second in steady use.
	Reads, Writes float64
	// PeakReads and PeakWrites are calls in the busiest second, as after a
	// restart of all VMs at once.
	PeakReads, PeakWrites float64
	// Watches are the calls that wait.
	Watches float64
}

// CallsOf returns the syncer's calls for a fleet of so many VMs.
func CallsOf(vms int) Calls {
	watchers := min(vms, Watchers)
	others := vms - watchers
	changes := float64(ChangesPerDay) / (24 * time.Hour).Seconds()
	polls := float64(watchers)/WatcherPollEvery.Seconds() + float64(others)/PollEvery.Seconds()
	reopened := float64(watchers) / time.Minute.Seconds()
	return Calls{
		Reads: polls + reopened,
		// Every second change meets a version that its VM has not seen.
		Writes:     changes * 1.5,
		PeakReads:  float64(vms)/FirstReadWithin.Seconds() + 2*float64(watchers),
		PeakWrites: MaxSubmits,
		Watches:    float64(watchers),
	}
}
