package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/stepper"
)

// maxRecordWriteDelay bounds the random delay of the write of a record that all VMs
// share: an event that several of them notice makes them all want to write it.
const maxRecordWriteDelay = 100 * time.Millisecond

// recordWrite asks for a write of a shared record if its version is expected. One of
// the functions is called with the result.
type recordWrite struct {
	value    []byte
	expected keeper.Version
	written  func(keeper.Entry)
	// conflicted gets the entry that the store has. It reports false if that can't be
	// read; it is replaced then.
	conflicted func(keeper.Entry) bool
	failed     func()
}

// RecordStore reads and writes records.
type RecordStore interface {
	Swapper
	Snapshot(ctx context.Context, purpose keeper.Purpose, prefix, after string) (keeper.Snapshot, error)
}

// checkStoreTimeout bounds a call that only tells whether the store answers.
const checkStoreTimeout = 500 * time.Millisecond

// RecordWriter writes one record to the store. When it is asked to, it also checks whether the store
// answers.
type RecordWriter struct {
	key    string
	writes <-chan recordWrite
	// checks asks for such a check; nil for never. answered gets the time of each call that
	// the store answered.
	checks   <-chan struct{}
	answered func(sentAt time.Time)
	// maxDelay bounds the random delay of a write; zero for none.
	maxDelay time.Duration
	store    RecordStore
	steps    *stepper.Stepper
	log      zerolog.Logger
}

// NewRecordWriters returns the writers of the records that a fleet shares and of the list
// of streams of a VM. They do nothing before Run.
func NewRecordWriters(f *Fleet, store RecordStore, vm identifier.VM, log zerolog.Logger) []*RecordWriter {
	writer := func(key string, writes <-chan recordWrite, maxDelay time.Duration) *RecordWriter {
		return &RecordWriter{key: key, writes: writes, answered: f.recordReached, maxDelay: maxDelay, store: store, steps: f.steps, log: log}
	}
	streams := writer(streamsKey(vm), f.streamWrites, 0)
	streams.checks = f.storeChecks
	return []*RecordWriter{
		writer(crashesKey, f.crashWrites, maxRecordWriteDelay),
		writer(ratesKey, f.rateWrites, maxRecordWriteDelay),
		writer(versionsKey, f.versionWrites, maxRecordWriteDelay),
		streams,
	}
}

// Run writes records until ctx ends.
func (w *RecordWriter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.checks:
			w.steps.Call(coreRecords, "check", func() { w.check(ctx) })
		case one := <-w.writes:
			if w.maxDelay == 0 || looper.Sleep(ctx, rand.N(w.maxDelay)) {
				w.attempt(ctx, one)
			}
		}
	}
}

func (w *RecordWriter) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkStoreTimeout)
	defer cancel()
	sentAt := time.Now()
	if _, err := w.store.Snapshot(ctx, keeper.PurposeFence, versionsKey, ""); err == nil {
		w.answered(sentAt)
	}
}

// attempt writes a record. A write that panics has failed.
func (w *RecordWriter) attempt(ctx context.Context, one recordWrite) {
	if !w.steps.Call(coreRecords, w.key, func() { w.write(ctx, one) }) {
		w.steps.Call(coreRecords, w.key, one.failed)
	}
}

func (w *RecordWriter) write(ctx context.Context, one recordWrite) {
	sentAt := time.Now()
	entry, done, err := w.store.Swap(ctx, keeper.PurposeFence, w.key, one.expected, one.value)
	if err == nil && !done && !one.conflicted(entry) {
		w.log.Warn().Str("Key", w.key).Int64("Version", int64(entry.Version)).Msg("EntryReplaced")
		entry, done, err = w.store.Swap(ctx, keeper.PurposeFence, w.key, entry.Version, one.value)
		if err == nil && !done {
			one.failed()
			return
		}
	}
	if err != nil {
		w.log.Info().Str("Key", w.key).Int64("Expected", int64(one.expected)).AnErr("Error", err).Msg("RecordNotWritten")
		one.failed()
		return
	}
	w.answered(sentAt)
	if done {
		one.written(entry)
	}
}
