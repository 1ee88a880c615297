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

// ringSize is the capacity of the shell's ring in inputs.
const ringSize = 1024

// storeBudget bounds a store call made for a core. It ends a little after
// the core has stopped waiting for it.
const storeBudget = CallTimeout + 100*time.Millisecond

// Result is the verdict that Claim returns.
type Result struct {
	Verdict Verdict
	// Reason is empty unless the verdict is Unavailable.
	Reason Reason
}

// Granted says that the request may be sent, once.
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
	// leaders names the VMs to ask for a shard, best first. Only the first
	// MaxLeaders are asked, so that few VMs lead a shard at once.
	leaders func(Shard) []identifier.VM
	nonce   atomic.Uint64
	ring    chan input
	// ended is closed when Run returns; no input is read after it.
	ended chan struct{}
}

// input is one entry of the ring.
type input struct {
	shard Shard
	event Event
	// reply gets the answer to a ClaimAsked; it has room for it.
	reply chan Result
}

// NewShell returns a shell that is at work while Run runs.
func NewShell(vm identifier.VM, incarnation identifier.Incarnation, store keeper.Store, sender messenger.Sender, leaders func(Shard) []identifier.VM) *Shell {
	return &Shell{
		vm:          vm,
		incarnation: incarnation,
		store:       store,
		sender:      sender,
		leaders:     leaders,
		ring:        make(chan input, ringSize),
		ended:       make(chan struct{}),
	}
}

// Claim asks for a claim and waits until ctx ends or AskTimeout has passed.
// The request may be sent, once, only if the result is Granted; after any
// other result nothing has been sent under this ask.
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
	for i, to := range s.leaders(shard) {
		if i == MaxLeaders || ctx.Err() != nil {
			break
		}
		if to == s.vm {
			return s.local(ctx, shard, ask)
		}
		// Without an answer the claim may have been made: the same holder
		// asks the next leader.
		r, err := s.remote(ctx, to, ask)
		if err == nil {
			return r
		}
	}
	return unavailable(ReasonNoLeader)
}

// MaxLeaders is the most VMs that one ask is sent to.
const MaxLeaders = 2

// remoteShare is the part of AskTimeout that one leader gets.
const remoteShare = AskTimeout / MaxLeaders

func (s *Shell) remote(ctx context.Context, to identifier.VM, ask ClaimAsked) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, remoteShare)
	defer cancel()
	e, err := s.sender.Call(ctx, to, &wire.Envelope{Body: &wire.Envelope_Claim{Claim: EncodeAsk(ask)}})
	if err != nil {
		return Result{}, errors.Wrap(err, "ask for a claim")
	}
	return DecodeAnswer(e.GetClaim().GetAnswer())
}

func (s *Shell) local(ctx context.Context, shard Shard, ask ClaimAsked) Result {
	reply := make(chan Result, 1)
	select {
	case s.ring <- input{shard: shard, event: ask, reply: reply}:
	default:
		return unavailable(ReasonBusy)
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return unavailable(ReasonTimeout)
	case <-s.ended:
		return unavailable(ReasonTimeout)
	}
}

// Handle answers the ask of another VM. It is a messenger.Handler.
func (s *Shell) Handle(ctx context.Context, from identifier.VM, e *wire.Envelope) *wire.Envelope {
	ask, err := DecodeAsk(e.GetClaim().GetAsk())
	if err != nil || ask.Claim.Holder.VM != from {
		return nil
	}
	r := s.local(ctx, ShardOf(ask.Claim.Key), ask)
	answer := Answer{Holder: ask.Claim.Holder, Verdict: r.Verdict, Reason: r.Reason}
	return &wire.Envelope{Body: &wire.Envelope_Claim{Claim: EncodeAnswer(answer)}}
}
