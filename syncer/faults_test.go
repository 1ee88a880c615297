package syncer_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/syncer"
)

// changeRecord records the results of all changes and every document in force.
type changeRecord struct {
	// accepted holds the reported revision of each accepted change.
	accepted map[configurer.ChangeID]identifier.Revision
	// refused holds the changes that were reported as not accepted.
	refused map[configurer.ChangeID]syncer.Result
	// documents holds the encoded document of each revision.
	documents map[identifier.Revision][]byte
	// violation describes the last violation seen, or is empty.
	violation string
}

// checkInForce checks a document that a VM put into force after revision was.
func (l *changeRecord) checkInForce(vm identifier.VM, was identifier.Revision, d configurer.Document) {
	if d.Revision <= was {
		l.violation = fmt.Sprintf("%s went from revision %d to %d", vm, was, d.Revision)
	}
	value, _ := configurer.Encode(d)
	if old, ok := l.documents[d.Revision]; ok && !bytes.Equal(old, value) {
		l.violation = fmt.Sprintf("revision %d has two documents", d.Revision)
	}
	l.documents[d.Revision] = value
}

// collectResults records the results that a VM has reported.
func (l *changeRecord) collectResults(n *node, ids map[syncer.Token]configurer.ChangeID) {
	for token, s := range n.results {
		switch s.Result {
		case syncer.ResultAccepted:
			l.accepted[ids[token]] = s.Revision
		case syncer.ResultConflict, syncer.ResultBusy, syncer.ResultStoreDown:
			l.refused[ids[token]] = s.Result
		}
	}
}

// TestAcceptedChangesSurviveFaults submits concurrent changes under message loss,
// partitions, outages, lost replies and restarts of one or all VMs. Accepted changes
// stay, refused ones have no effect, revisions never fall, and all VMs converge.
func TestAcceptedChangesSurviveFaults(t *testing.T) {
	steps, accepted, unknown := 0, 0, 0
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(5, 0.05, rapid.Uint64().Draw(r, "seed"))
		l := &changeRecord{
			accepted:  map[configurer.ChangeID]identifier.Revision{},
			refused:   map[configurer.ChangeID]syncer.Result{},
			documents: map[identifier.Revision][]byte{},
		}
		was := map[*node]identifier.Revision{}
		f.onInForce = func(id identifier.VM, n *node, d configurer.Document) {
			l.checkInForce(id, was[n], d)
			was[n] = d.Revision
		}
		ids := map[syncer.Token]configurer.ChangeID{}
		vms := rapid.SampledFrom(f.vms)
		restart := func(id identifier.VM) {
			l.collectResults(f.nodes[id], ids)
			f.start(id)
		}
		f.run(5 * time.Second)
		r.Repeat(map[string]func(*rapid.T){
			"submit": func(r *rapid.T) {
				token := syncer.Token(len(ids) + 1)
				vm := vms.Draw(r, "vm")
				c := drawChange(r, token, f.nodes[vm].core.Document())
				ids[token] = c.ID
				f.submit(vm, token, c)
			},
			"restart": func(r *rapid.T) {
				if rapid.IntRange(0, 9).Draw(r, "all") > 0 {
					restart(vms.Draw(r, "vm"))
					return
				}
				for _, id := range f.vms {
					restart(id)
				}
			},
			"split": func(r *rapid.T) {
				mask := rapid.IntRange(0, 31).Draw(r, "sides")
				for i, id := range f.vms {
					f.nodes[id].partition = mask >> i & 1
				}
				f.updateLiveSets()
			},
			"store": func(r *rapid.T) { f.setDown(rapid.SampledFrom([]bool{false, false, true}).Draw(r, "down")) },
			"replies": func(r *rapid.T) {
				f.store.loseReplies = rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(r, "lost")
			},
			"watches": func(r *rapid.T) { f.store.dropNotifications = rapid.Bool().Draw(r, "dead") },
			"run": func(r *rapid.T) {
				f.run(time.Duration(rapid.IntRange(1, 4000).Draw(r, "ms")) * time.Millisecond)
			},
			"run long": func(*rapid.T) { f.run(12 * time.Second) },
			"": func(r *rapid.T) {
				steps++
				if l.violation != "" {
					r.Fatal(l.violation)
				}
			},
		})
		f.clearFaults()
		for _, id := range f.vms {
			l.collectResults(f.nodes[id], ids)
		}
		l.check(r, f)
		accepted += len(l.accepted)
		unknown += len(ids) - len(l.accepted) - len(l.refused)
	})
	t.Logf("%d steps, %d changes accepted, %d with an unknown result", steps, accepted, unknown)
	if steps < 10_000 || accepted < 1_000 {
		t.Fatalf("only %d steps and %d accepted changes", steps, accepted)
	}
}

// drawChange draws one of a few changes, so that operators often change the same
// field. The change is based on a VM's configuration, which may be outdated.
func drawChange(r *rapid.T, token syncer.Token, seen configurer.Document) configurer.Change {
	name := identifier.Class(rapid.SampledFrom([]string{"a", "b"}).Draw(r, "class"))
	value := configurer.Duration(rapid.IntRange(1, 3).Draw(r, "seconds")) * 1e9
	class, known := seen.Class(name)
	var o configurer.Operation = configurer.SetTarget{
		Class: name, Target: configurer.TargetFirstToken, Was: class.FirstToken, Value: value,
	}
	if !known {
		o = configurer.AddClass{Class: configurer.Class{Name: name, FirstToken: 2e9}}
	}
	return configurer.Change{ID: configurer.ChangeID(fmt.Sprint(token)), Operations: []configurer.Operation{o}}
}

// clearFaults ends all faults and runs until the fleet has recovered.
func (f *fleet) clearFaults() {
	f.setDown(false)
	f.store.loseReplies, f.store.dropNotifications = 0, false
	for _, id := range f.vms {
		f.nodes[id].partition = 0
	}
	f.updateLiveSets()
	f.run(45 * time.Second)
}

// check compares the reported results with every document that the store held.
func (l *changeRecord) check(r *rapid.T, f *fleet) {
	if l.violation != "" {
		r.Fatal(l.violation)
	}
	held := map[configurer.ChangeID]identifier.Revision{}
	last := configurer.Document{}
	for _, value := range f.store.history {
		d, err := configurer.Decode(value)
		if err != nil || d.Revision != last.Revision+1 {
			r.Fatalf("the store went from revision %d to %d: %v", last.Revision, d.Revision, err)
		}
		held[d.Recent[len(d.Recent)-1]] = d.Revision
		last = d
	}
	for id, revision := range l.accepted {
		if at, ok := held[id]; !ok || at > revision {
			r.Fatalf("change %s was reported as accepted at revision %d, but the store has it at %d", id, revision, at)
		}
	}
	for id, result := range l.refused {
		if at, ok := held[id]; ok {
			r.Fatalf("change %s was reported as %s, but the store has it at revision %d", id, result, at)
		}
	}
	for _, id := range f.vms {
		if got := f.nodes[id].revision; got != last.Revision {
			r.Fatalf("%s has revision %d, the store %d", id, got, last.Revision)
		}
	}
}
