package syncer

import "time"

// ChangesPerDay is the rate of accepted changes that the fleet is sized for.
const ChangesPerDay = 1600

// Calls estimates the store calls that the whole fleet makes for one purpose.
type Calls struct {
	// Reads and Writes are calls per second in steady state.
	Reads, Writes float64
	// PeakReads and PeakWrites are calls in the busiest second, such as after
	// all VMs restart at once.
	PeakReads, PeakWrites float64
	// Watches is the number of open watches.
	Watches float64
}

// CallsOf estimates the syncer's store calls for a fleet of the given size.
func CallsOf(vms int) Calls {
	watchers := min(vms, WatcherCount)
	others := vms - watchers
	changes := float64(ChangesPerDay) / (24 * time.Hour).Seconds()
	polls := float64(watchers)/WatcherPollInterval.Seconds() + float64(others)/PollInterval.Seconds()
	reopened := float64(watchers) / time.Minute.Seconds()
	return Calls{
		Reads: polls + reopened,
		// Half of the changes are written twice, because the first swap is
		// based on an outdated version.
		Writes:     changes * 1.5,
		PeakReads:  float64(vms)/MaxFirstReadDelay.Seconds() + 2*float64(watchers),
		PeakWrites: MaxQueuedSubmits,
		Watches:    float64(watchers),
	}
}
