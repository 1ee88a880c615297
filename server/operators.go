package server

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/operator"
	"github.com/figtrack/figtrack/wire"
)

// inquiryTimeout bounds the wait for the answers of other VMs to an inquiry.
const inquiryTimeout = 2 * time.Second

// Configuration implements operator.Fleet.
func (s *Server) Configuration() configurer.Document { return *s.sync.Document() }

// Drain implements operator.Fleet.
func (s *Server) Drain() {
	s.drainOnce.Do(func() { close(s.drainRequested) })
}

// DrainRequested returns a channel that is closed once this VM must stop: when an
// operator asks for it, or the membership finds that the VM is listed as leaving
// or that a later process has its ID.
func (s *Server) DrainRequested() <-chan struct{} { return s.drainRequested }

// Statuses implements operator.Fleet. This VM comes first, then the others
// sorted by ID.
func (s *Server) Statuses(ctx context.Context) []operator.Status {
	own := s.status()
	out := []operator.Status{own}
	others := s.peerIDs()
	answers := s.inquire(ctx, others, &wire.Inquiry{Body: &wire.Inquiry_Status{Status: &wire.InquiryStatus{}}})
	for i, vm := range others {
		status := operator.Status{VM: vm}
		if answers[i].err != nil {
			status.Problem = "no answer: " + answers[i].err.Error()
		} else if json.Unmarshal(answers[i].text, &status) != nil {
			status.Problem = "an answer that could not be read"
		}
		out = append(out, status)
	}
	return out
}

// Explain implements operator.Fleet.
func (s *Server) Explain(ctx context.Context, r identifier.Request) operator.Explanation {
	out := operator.Explanation{Lines: s.Memory.Lines(r)}
	question := &wire.Inquiry{Body: &wire.Inquiry_Explain{Explain: &wire.InquiryExplain{Request: string(r)}}}
	others := s.peerIDs()
	for i, answer := range s.inquire(ctx, others, question) {
		var more []json.RawMessage
		err := answer.err
		if err == nil {
			err = errors.Wrap(json.Unmarshal(answer.text, &more), "read the answer")
		}
		if err != nil {
			out.Unanswered = append(out.Unanswered, operator.Unanswered{VM: others[i], Reason: err.Error()})
		}
		out.Lines = append(out.Lines, more...)
	}
	return out
}

func (s *Server) peerIDs() []identifier.VM {
	var out []identifier.VM
	for _, p := range s.Settings.VMs.Peers {
		out = append(out, p.VM)
	}
	slices.Sort(out)
	return out
}

// inquiryAnswer is the answer of one VM, or the reason why there is none.
type inquiryAnswer struct {
	text []byte
	err  error
}

// inquire sends a question to VMs in parallel and logs which ones did not answer.
func (s *Server) inquire(ctx context.Context, vms []identifier.VM, question *wire.Inquiry) []inquiryAnswer {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	answers := make([]inquiryAnswer, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() {
			began := time.Now()
			e, err := s.messenger.Call(ctx, vm, &wire.Envelope{Body: &wire.Envelope_Inquiry{Inquiry: question}})
			if err != nil {
				s.Log.Warn().Str("Peer", string(vm)).Dur("Took", time.Since(began)).AnErr("Error", err).Msg("InquiryUnanswered")
			}
			answers[i] = inquiryAnswer{e.GetInquiry().GetReport().GetJson(), err}
		})
	}
	wg.Wait()
	return answers
}

// answerInquiry answers an operator's question that another VM forwarded.
func (s *Server) answerInquiry(q *wire.Inquiry) *wire.Envelope {
	var out any
	switch body := q.GetBody().(type) {
	case *wire.Inquiry_Status:
		out = s.status()
	case *wire.Inquiry_Explain:
		out = s.Memory.Lines(identifier.Request(body.Explain.GetRequest()))
	default:
		return nil
	}
	text, err := json.Marshal(out)
	if err != nil {
		return nil
	}
	report := &wire.Inquiry{Body: &wire.Inquiry_Report{Report: &wire.InquiryReport{Json: text}}}
	return &wire.Envelope{Body: &wire.Envelope_Inquiry{Inquiry: report}}
}

func (s *Server) status() operator.Status {
	out := operator.Status{
		VM:           s.Settings.VM,
		DataCentre:   s.Settings.DataCentre,
		Incarnation:  s.Incarnation,
		NotReady:     s.NotReadyReason(),
		InFlight:     s.listener.InFlight(),
		Impaired:     s.health.impairedUpstreams(),
		KeysExpireAt: s.Keyring.ExpiresAt(),
	}
	s.mu.Lock()
	out.Revision = s.configuration.Revision
	for _, v := range s.live {
		out.Live = append(out.Live, v.ID)
	}
	for _, shard := range s.ownedLocked() {
		out.Owned = append(out.Owned, shard.ID)
	}
	s.mu.Unlock()
	s.addMetrics(&out)
	return out
}

// addMetrics fills in the counters of a status from the VM's own metrics.
func (s *Server) addMetrics(out *operator.Status) {
	families, err := s.metrics.Gather()
	if err != nil {
		return
	}
	classes := make(map[string]*operator.ClassStatus)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			labels := labelsOf(m)
			value := m.GetCounter().GetValue()
			if f.GetName() == "figtrack_store_calls_total" {
				out.StoreCalls = append(out.StoreCalls, operator.StoreStatus{
					Purpose: labels["purpose"],
					Kind:    labels["kind"],
					Calls:   uint64(value),
				})
				continue
			}
			if labels["class"] != "" {
				addToClass(classes, f.GetName(), labels, value)
			}
		}
	}
	for _, name := range s.ClassNames() {
		if c := classes[string(name)]; c != nil {
			out.Classes = append(out.Classes, *c)
		}
	}
}

func addToClass(classes map[string]*operator.ClassStatus, family string, labels map[string]string, value float64) {
	c := classes[labels["class"]]
	if c == nil {
		c = &operator.ClassStatus{Class: identifier.Class(labels["class"])}
		classes[labels["class"]] = c
	}
	switch family {
	case "figtrack_requests_total":
		c.Requests += uint64(value)
		if labels["outcome"] == "Answered" {
			c.Answered += uint64(value)
		}
	case "figtrack_requests_in_target_total":
		c.InTarget += uint64(value)
	case "figtrack_prefill_seconds_total":
		c.PrefillSeconds += value
		if labels["used"] == "false" {
			c.WastedSeconds += value
		}
	}
}

func labelsOf(m *dto.Metric) map[string]string {
	out := make(map[string]string, len(m.GetLabel()))
	for _, l := range m.GetLabel() {
		out[l.GetName()] = l.GetValue()
	}
	return out
}
