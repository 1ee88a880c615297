package configurer

import "github.com/figtrack/figtrack/identifier"

// Operation is one change of one field or element. The set is sealed.
type Operation interface{ operation() }

// Target names a latency target of a class.
type Target string

// The targets of a class.
const (
	TargetFirstToken Target = "FirstToken"
	TargetPerToken   Target = "PerToken"
	TargetPatience   Target = "Patience"
)

// AddClass adds a class.
type AddClass struct{ Class Class }

// SetTarget changes one target of a class.
type SetTarget struct {
	Class  identifier.Class
	Target Target
	// Was is the value that the operator saw.
	Was, Value Duration
}

// RemoveClass removes a class.
type RemoveClass struct {
	// Was is the class that the operator saw.
	Was Class
}

// AddUpstream adds an upstream.
type AddUpstream struct{ Upstream Upstream }

// SetUpstream changes what an upstream is, but for its role and retirement.
type SetUpstream struct {
	// Was is the upstream that the operator saw.
	Was, Value Upstream
}

// RetireUpstream makes an upstream get no new work.
type RetireUpstream struct{ ID identifier.Upstream }

// RestoreUpstream gives a retired upstream new work again.
type RestoreUpstream struct{ ID identifier.Upstream }

// RemoveUpstream removes a retired upstream.
type RemoveUpstream struct{ ID identifier.Upstream }

// SetRole changes the role of a runner.
type SetRole struct {
	ID identifier.Upstream
	// Was is the value that the operator saw.
	Was, Value identifier.Role
}

// AddPool adds a pool.
type AddPool struct{ Pool Pool }

// RemovePool removes a pool that has no upstreams.
type RemovePool struct {
	// Was is the pool that the operator saw.
	Was Pool
}

// SetPrefix changes the path prefix of a plain service.
type SetPrefix struct {
	Pool identifier.Pool
	// Was is the value that the operator saw.
	Was, Value string
}

// SetDefaultClass changes the class of requests that name none.
type SetDefaultClass struct {
	Pool identifier.Pool
	// Was is the value that the operator saw.
	Was, Value identifier.Class
}

// AddRepeatable declares calls of a plain service idempotent.
type AddRepeatable struct {
	Pool identifier.Pool
	Call string
}

// RemoveRepeatable ends AddRepeatable.
type RemoveRepeatable struct {
	Pool identifier.Pool
	Call string
}

// AddModel makes the runners of a pool serve a model.
type AddModel struct {
	Pool  identifier.Pool
	Model identifier.Model
}

// RemoveModel ends AddModel.
type RemoveModel struct {
	Pool  identifier.Pool
	Model identifier.Model
}

// AddAdapter makes the runners of a pool serve an adapter.
type AddAdapter struct {
	Pool    identifier.Pool
	Adapter string
}

// RemoveAdapter ends AddAdapter.
type RemoveAdapter struct {
	Pool    identifier.Pool
	Adapter string
}

// SetVersion changes the version that the runners of a pool serve.
type SetVersion struct {
	Pool identifier.Pool
	// Was is the value that the operator saw.
	Was, Value string
}

func (AddClass) operation()         {}
func (SetTarget) operation()        {}
func (RemoveClass) operation()      {}
func (AddUpstream) operation()      {}
func (SetUpstream) operation()      {}
func (AddPool) operation()          {}
func (RemovePool) operation()       {}
func (SetPrefix) operation()        {}
func (SetDefaultClass) operation()  {}
func (AddRepeatable) operation()    {}
func (RemoveRepeatable) operation() {}
func (RetireUpstream) operation()   {}
func (RestoreUpstream) operation()  {}
func (RemoveUpstream) operation()   {}
func (SetRole) operation()          {}
func (AddModel) operation()         {}
func (RemoveModel) operation()      {}
func (AddAdapter) operation()       {}
func (RemoveAdapter) operation()    {}
func (SetVersion) operation()       {}

// Change is what one operator changes at once: all of it or nothing.
type Change struct {
	ID ChangeID
	// By names the operator in the log.
	By         string
	Operations []Operation
}

// MaxOperations bounds the operations of one change.
const MaxOperations = 1000
