// Package parser reads and validates the settings of one VM.
//
// Settings hold the identity of a process, the addresses that it listens on and
// those of its peers. Classes, targets and upstreams aren't settings: they are
// kept in the platform's store and changed by operators.
package parser

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// Settings holds all settings of one VM.
type Settings struct {
	Deployment string                `yaml:"Deployment" validate:"required,hostname_rfc1123" doc:"Name of the deployment. VMs of another deployment are refused."`
	VM         identifier.VM         `yaml:"VM" validate:"required,hostname_rfc1123" doc:"Name of this VM, as in its certificate."`
	DataCentre identifier.DataCentre `yaml:"DataCentre" validate:"required" doc:"Data centre of this VM."`
	Prefer     admitter.Prefer       `yaml:"Prefer" validate:"oneof=WastedPrefill Goodput" doc:"What weighs more where the two conflict: little wasted prefill, or more answers inside their targets."`
	Callers    Callers               `yaml:"Callers" validate:"required" doc:"The listener for callers, behind the platform's balancer."`
	VMs        VMs                   `yaml:"VMs" validate:"required" doc:"The listener for other VMs, and who they are."`
	Operators  Operators             `yaml:"Operators" doc:"The listener for operators. Closed when Address is empty."`
	Store      Store                 `yaml:"Store" validate:"required" doc:"The platform's key-value service."`
	Keys       Keys                  `yaml:"Keys" validate:"required_without=Platform,omitempty" doc:"Certificate and key of this VM. Each value is PEM text, env:NAME or file:PATH. Not needed with Platform."`
	Drain      Drain                 `yaml:"Drain" doc:"Graceful shutdown."`
	Log        Log                   `yaml:"Log" doc:"The log, JSON lines on standard error, or on standard output with Platform."`
	Platform   *Platform             `yaml:"Platform" doc:"Given where figtrack routes for the users' platform, which holds routes and upstreams in its store."`
}

// Platform holds the settings of a VM on the users' platform. The platform's
// operators state the limits.
type Platform struct {
	Ready       string        `yaml:"Ready" validate:"required,ip_port" doc:"IP and TCP port where the balancer asks whether this VM takes callers."`
	Metrics     string        `yaml:"Metrics" validate:"omitempty,ip_port" doc:"IP and TCP port of the metrics, path /metrics. Closed when empty."`
	Contact     time.Duration `yaml:"Contact" validate:"min=1s,max=1m" doc:"Time without disruption after which the platform counts a VM as in touch. Waits for the store are shorter."`
	ApplyWithin time.Duration `yaml:"ApplyWithin" validate:"min=1s,max=1m" doc:"Time within which a change of the configuration has to be in force on each VM. Changes that are written shortly after each other are read by one call."`
	RetryRatio  float64       `yaml:"RetryRatio" validate:"min=0,max=1" doc:"Extra sends to runners allowed for each request, over the whole fleet."`
	RetryWindow time.Duration `yaml:"RetryWindow" validate:"min=1s,max=10m" doc:"Time over which extra sends are counted."`
	RetrySlack  float64       `yaml:"RetrySlack" validate:"min=0" doc:"Extra sends allowed in a window beside RetryRatio, over the whole fleet."`
	// ShareLoadFrom is nil if it isn't given; see SharesLoadFrom.
	ShareLoadFrom *int `yaml:"ShareLoadFrom" validate:"omitempty,min=0" doc:"Number of VMs from which they tell each other their load; 0 for never. 16 if not given: fewer VMs see most of it by themselves."`
	MemoryMB      int  `yaml:"MemoryMB" validate:"min=32,max=1048576" doc:"Memory of this VM's process, in MB."`
}

// Callers holds the settings of the listener for callers.
type Callers struct {
	Address        string        `yaml:"Address" validate:"required,ip_port" doc:"IP and TCP port. Port 0 takes a free one."`
	MaxBodyBytes   int64         `yaml:"MaxBodyBytes" validate:"min=1024,max=268435456" doc:"Largest body of a completion request, in bytes."`
	MaxHeaderBytes int           `yaml:"MaxHeaderBytes" validate:"min=1024,max=1048576" doc:"Largest header of a request, in bytes, and largest request line. With Platform, the lower one of this and the configuration's limit holds."`
	HeaderTimeout  time.Duration `yaml:"HeaderTimeout" validate:"min=100ms,max=1m" doc:"Longest time for a caller to send a request's header. With Platform, the shorter one of this and the configuration's limit holds."`
	HeaderMemoryMB int           `yaml:"HeaderMemoryMB" validate:"min=0,max=1048576" doc:"Memory for all headers of requests together, in MB, beyond 4 KiB and 32 lines of each. 0: a tenth of Platform.MemoryMB, 16 without Platform."`
	MaxConnections int           `yaml:"MaxConnections" validate:"min=0,max=1000000" doc:"Most connections of callers. 0: two fifths of the descriptor limit less 32 and, with Platform, at most 8 for each MB of Platform.MemoryMB."`
	BodyTimeout    time.Duration `yaml:"BodyTimeout" validate:"min=1s,max=10m" doc:"Longest time for a caller to send a completion request's body."`
	WriteTimeout   time.Duration `yaml:"WriteTimeout" validate:"min=1s,max=10m" doc:"Longest time that a caller may leave one part of an answer unread."`
	RequestTimeout time.Duration `yaml:"RequestTimeout" validate:"min=1s,max=24h" doc:"Longest time for a whole request."`
	MaxRequests    int           `yaml:"MaxRequests" validate:"min=1,max=100000" doc:"Most requests in flight on this VM."`
}

// VMs holds the settings of the listener for other VMs.
type VMs struct {
	Address string `yaml:"Address" validate:"required,ip_port" doc:"IP and UDP port. Port 0 takes a free one. With Platform the VMs exchange quotas there; the IP must be one at which other VMs reach this one."`
	Peers   []Peer `yaml:"Peers" validate:"max=1000,unique=VM,dive" doc:"The other VMs of the deployment."`
}

// Peer is another VM of the deployment.
type Peer struct {
	VM         identifier.VM         `yaml:"VM" validate:"required" doc:"Name of the VM, as in its certificate."`
	DataCentre identifier.DataCentre `yaml:"DataCentre" validate:"required" doc:"Data centre of the VM."`
	Address    string                `yaml:"Address" validate:"required,ip_port" doc:"IP and UDP port."`
}

// Operators holds the settings of the listener for operators.
type Operators struct {
	Address string `yaml:"Address" validate:"omitempty,ip_port" doc:"IP and TCP port. An operator's certificate is demanded."`
}

// Store holds the settings of the client for the platform's key-value service.
type Store struct {
	Endpoints []string      `yaml:"Endpoints" validate:"required,min=1,max=16,dive,http_url" doc:"Addresses of the service, http:// or https://."`
	Timeout   time.Duration `yaml:"Timeout" validate:"min=10ms,max=1m" doc:"Deadline of one call."`
	Prefix    string        `yaml:"Prefix" validate:"required,startswith=/" doc:"First part of every key of this deployment."`
}

// Keys holds the sources of this VM's certificates and private key, as
// ReadSecret reads them.
type Keys struct {
	Authorities string `yaml:"Authorities" validate:"required" doc:"Certificates of the authorities that are trusted."`
	Certificate string `yaml:"Certificate" validate:"required" doc:"Certificate of this VM."`
	Key         string `yaml:"Key" validate:"required" doc:"Private key of this VM. It is never logged."`
}

// Drain holds the settings of a graceful shutdown.
type Drain struct {
	Notice time.Duration `yaml:"Notice" validate:"min=0s,max=5m" doc:"How long a stopping VM still takes requests, for the balancer to notice that it is not ready."`
	Limit  time.Duration `yaml:"Limit" validate:"min=0s,max=24h" doc:"Longest time for requests in flight to end after SIGTERM."`
}

// Log holds the settings of the log.
type Log struct {
	Level string `yaml:"Level" validate:"oneof=debug info warn error" doc:"Least level that is written. Decisions are written at info."`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Prefer: admitter.PreferGoodput,
		Callers: Callers{
			MaxBodyBytes:   8 << 20,
			MaxHeaderBytes: 64 << 10,
			HeaderTimeout:  5 * time.Second,
			BodyTimeout:    30 * time.Second,
			WriteTimeout:   30 * time.Second,
			RequestTimeout: 15 * time.Minute,
			MaxRequests:    4096,
		},
		Store: Store{Timeout: 500 * time.Millisecond, Prefix: "/figtrack"},
		Drain: Drain{Notice: 3 * time.Second, Limit: 10 * time.Minute},
		Log:   Log{Level: "info"},
	}
}

// defaultShareLoadFrom is the number of VMs from which each sees so little of the load by its
// own calls that the exchange of it pays.
const defaultShareLoadFrom = 16

// SharesLoadFrom returns the number of VMs from which they share their load; zero for never.
func (p *Platform) SharesLoadFrom() int {
	if p.ShareLoadFrom == nil {
		return defaultShareLoadFrom
	}
	return *p.ShareLoadFrom
}
