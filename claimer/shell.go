package claimer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/messenger"
	"github.com/figtrack/figtrack/wire"
)

// inputQueueSize is the most inputs that wait for the shell's loop.
const inputQueueSize = 1024

// storeCallTimeout bounds a store call made for a core. It ends a little after
// the core has stopped waiting for the call.
const storeCallTimeout = CallTimeout + 100*time.Millisecond

// Result is the verdict that Claim returns.
type Result struct {
	Verdict Verdict
	// Reason is empty unless the verdict is Unavailable.
	Reason Reason
}

// Granted reports whether the request may be sent, once.
func (r Result) Granted() bool { return r.Verdict == VerdictGranted }

func unavailable(reason Reason) Result {
	return Result{Verdict: VerdictUnavailable, Reason: reason}
}

// Shell drives the cores of all shards on one VM and asks other VMs for the
// shards that they lead.
type Shell struct {
	vm          identifier.VM
	incarnation identifier.Incarnation
	store       keeper.Store
	sender      messenger.Sender
	// leadersOf returns the VMs to ask for a shard, best first. Only the first
	// MaxLeaders are asked, so that few VMs lead a shard at once.
	leadersOf func(Shard) []identifier.VM
	nonce     atomic.Uint64
	inputs    chan input
	// stopped is closed when Run returns; no input is processed after it.
	stopped chan struct{}
}

// input is one entry of the queue: an event for the core of a shard.
type input struct {
	shard Shard
	event Event
	// reply receives the answer to a ClaimAsked. It is buffered, so that the
	// loop never blocks on it.
	reply chan Result
}

// NewShell returns a shell. It processes inputs only while Run runs.
func NewShell(vm identifier.VM, incarnation identifier.Incarnation, store keeper.Store, sender messenger.Sender, leaders func(Shard) []identifier.VM) *Shell {
	return &Shell{
		vm:          vm,
		incarnation: incarnation,
		store:       store,
		sender:      sender,
		leadersOf:   leaders,
		inputs:      make(chan input, inputQueueSize),
		stopped:     make(chan struct{}),
	}
}

// Claim asks for a claim and waits until ctx is done or AskTimeout has passed.
// The request may be sent, once, only if the result is Granted; after any
// other result nothing has been sent for this ask.
func (s *Shell) Claim(ctx context.Context, id Identity) Result {
	ctx, cancel := context.WithTimeout(ctx, AskTimeout)
	defer cancel()
	ask := ClaimAsked{
		Claim: Claim{
			Key:    id.Key,
			Body:   id.Body,
			Holder: Holder{VM: s.vm, Incarnation: s.incarnation, Nonce: s.nonce.Add(1)},
		},
		Minted: id.Minted,
	}
	shard := ShardOf(id.Key)
	for i, to := range s.leadersOf(shard) {
		if i == MaxLeaders || ctx.Err() != nil {
			break
		}
		if to == s.vm {
			return s.askLocal(ctx, shard, ask)
		}
		// The leader may have made the claim without answering, so the next
		// one is asked with the same holder.
		r, err := s.askRemote(ctx, to, ask)
		if err == nil {
			return r
		}
	}
	return unavailable(ReasonNoLeader)
}

// MaxLeaders is the most VMs that one ask is sent to.
const MaxLeaders = 2

// remoteAskTimeout bounds the ask of one other VM. It is the share of
// AskTimeout that each of MaxLeaders gets.
const remoteAskTimeout = AskTimeout / MaxLeaders

// askRemote asks another VM as the leader of the shard.
func (s *Shell) askRemote(ctx context.Context, to identifier.VM, ask ClaimAsked) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, remoteAskTimeout)
	defer cancel()
	e, err := s.sender.Call(ctx, to, &wire.Envelope{Body: &wire.Envelope_Claim{Claim: EncodeAsk(ask)}})
	if err != nil {
		return Result{}, errors.Wrap(err, "ask for a claim")
	}
	return DecodeAnswer(e.GetClaim().GetAnswer())
}

// askLocal asks the core of the shard on this VM.
func (s *Shell) askLocal(ctx context.Context, shard Shard, ask ClaimAsked) Result {
	reply := make(chan Result, 1)
	select {
	case s.inputs <- input{shard: shard, event: ask, reply: reply}:
	default:
		return unavailable(ReasonBusy)
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return unavailable(ReasonTimeout)
	case <-s.stopped:
		return unavailable(ReasonTimeout)
	}
}

// Handle answers the ask of another VM, and returns nil if the ask is invalid.
// It is a messenger.Handler.
func (s *Shell) Handle(ctx context.Context, from identifier.VM, e *wire.Envelope) *wire.Envelope {
	ask, err := DecodeAsk(e.GetClaim().GetAsk())
	if err != nil || ask.Claim.Holder.VM != from {
		return nil
	}
	r := s.askLocal(ctx, ShardOf(ask.Claim.Key), ask)
	answer := Answer{Holder: ask.Claim.Holder, Verdict: r.Verdict, Reason: r.Reason}
	return &wire.Envelope{Body: &wire.Envelope_Claim{Claim: EncodeAnswer(answer)}}
}
