package configurer

import "github.com/figtrack/figtrack/identifier"

// Operation changes one field or element of a document. The set of operations is
// sealed.
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

// SetTarget changes one latency target of a class.
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

// SetUpstream changes all fields of an upstream except ID, Role and Retired.
type SetUpstream struct {
	// Was is the upstream that the operator saw.
	Was, Value Upstream
}

// RetireUpstream stops new requests to an upstream.
type RetireUpstream struct{ ID identifier.Upstream }

// RestoreUpstream lets a retired upstream get new requests again.
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

// SetDefaultClass changes the class of requests that don't name one.
type SetDefaultClass struct {
	Pool identifier.Pool
	// Was is the value that the operator saw.
	Was, Value identifier.Class
}

// AddRepeatable declares calls of a plain service idempotent. Call has the form
// of an element of Pool.Repeatable.
type AddRepeatable struct {
	Pool identifier.Pool
	Call string
}

// RemoveRepeatable reverts AddRepeatable.
type RemoveRepeatable struct {
	Pool identifier.Pool
	Call string
}

// AddModel adds a model to those that the runners of a pool serve.
type AddModel struct {
	Pool  identifier.Pool
	Model identifier.Model
}

// RemoveModel reverts AddModel.
type RemoveModel struct {
	Pool  identifier.Pool
	Model identifier.Model
}

// AddAdapter adds an adapter to those that the runners of a pool serve.
type AddAdapter struct {
	Pool    identifier.Pool
	Adapter string
}

// RemoveAdapter reverts AddAdapter.
type RemoveAdapter struct {
	Pool    identifier.Pool
	Adapter string
}

// SetVersion changes the model version that the runners of a pool serve.
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

// Change is a list of operations of one operator that is applied completely or
// not at all.
type Change struct {
	ID ChangeID
	// By is the name of the operator, for the log.
	By         string
	Operations []Operation
}

// MaxOperations is the maximum number of operations in a change.
const MaxOperations = 1000
