package plan

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Plan is a set of configuration changes for an operator to review and confirm.
// It isn't stored: its id is the digest of its edit and base version.
type Plan struct {
	ID       string              `json:"id"`
	Base     model.ConfigVersion `json:"base"` // version that the changes were computed from
	Edit     Edit                `json:"edit"`
	Changes  []Change            `json:"changes"`
	Warnings []string            `json:"warnings,omitempty"`
	Slots    []PoolSlots         `json:"slots,omitempty"` // that remain in each pool, if the planned configuration evacuates failure domains
}

// Outcome is the result of a confirmation that succeeded.
type Outcome string

// The values of Outcome.
const (
	// Committed means that this confirmation committed the change.
	Committed Outcome = "committed"
	// Repeated means that an earlier confirmation committed the plan.
	Repeated Outcome = "repeated"
)

// Confirmation is returned for a confirmation that succeeded.
type Confirmation struct {
	Version model.ConfigVersion `json:"version"` // version that contains the change, or a later one if Repeated
	Outcome Outcome             `json:"outcome"`
}

// AuditRecord is one entry of the audit trail. Of a key it contains the id and the
// first digits of the digest only.
type AuditRecord struct {
	PlanID   string              `json:"change"` // id of the plan
	Operator string              `json:"operator"`
	Time     time.Time           `json:"time"`
	From     model.ConfigVersion `json:"from"`
	To       model.ConfigVersion `json:"to"`
	Changes  []Change            `json:"changes"`
	Outcome  Outcome             `json:"outcome"`
	Previous model.Digest        `json:"previous,omitempty"` // digest of the previous record, which is the name of its object
}

// Planner makes and confirms plans. It keeps no state of its own; everything is
// in the platform's store.
type Planner struct {
	store store.Store
	clock model.Clock

	inForce func() *conf.Snapshot
}

// Option sets an optional property of a Planner.
type Option func(*Planner)

// WithClock sets the clock of audit records.
func WithClock(c model.Clock) Option {
	return func(p *Planner) { p.clock = c }
}

// WithInForce sets the function that returns the configuration in force on this daemon, or nil.
// It is written back before a change if the platform's store came back from an older copy:
// otherwise the change would have the version of one that is in force.
func WithInForce(current func() *conf.Snapshot) Option {
	return func(p *Planner) { p.inForce = current }
}

// New returns a planner that reads and writes the given store.
func New(s store.Store, options ...Option) *Planner {
	p := &Planner{store: s, clock: time.Now, inForce: func() *conf.Snapshot { return nil }}
	for _, o := range options {
		o(p)
	}
	return p
}

// baseConfig is the configuration that a plan is computed from.
type baseConfig struct {
	intent      *model.Intent
	root        conf.Root
	rootVersion store.Version // of the root object; 0: there is none
}

// load reads the latest configuration, which is empty before the first change.
func (p *Planner) load(ctx context.Context) (*baseConfig, error) {
	if c := p.inForce(); c != nil {
		if _, err := conf.WriteBack(ctx, p.store, c); err != nil {
			return nil, err
		}
	}
	snapshot, rootVersion, err := conf.Load(ctx, p.store)
	if fault.Is(err, fault.KindMissing) {
		return &baseConfig{intent: new(model.Intent)}, nil
	}
	if err != nil {
		return nil, err
	}
	return &baseConfig{intent: snapshot.Intent(), root: snapshot.Root(), rootVersion: rootVersion}, nil
}

// Plan computes the plan of an edit on the latest configuration. It does not
// change the configuration.
func (p *Planner) Plan(ctx context.Context, e *Edit) (*Plan, error) {
	base, err := p.load(ctx)
	if err != nil {
		return nil, err
	}
	next, err := e.Apply(base.intent)
	if err != nil {
		return nil, err
	}
	id, err := planID(base.root.Version, e)
	if err != nil {
		return nil, err
	}
	return &Plan{
		ID:       id,
		Base:     base.root.Version,
		Edit:     *e,
		Changes:  Diff(base.intent, next),
		Warnings: Warnings(base.intent, next),
		Slots:    RemainingSlots(next),
	}, nil
}

// planID returns the id of the plan with the base version and the edit.
func planID(base model.ConfigVersion, e *Edit) (string, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return "", fault.Wrap(fault.KindInvalid, err, "the edit cannot be encoded", "report this error")
	}
	return string(model.DigestOf(fmt.Appendf(data, " base %d", base))), nil
}

// Confirm commits a plan. The error has kind fault.KindConflict if the
// configuration changed since the plan was made, and fault.KindUnknown if the
// platform did not answer whether the change was committed. Confirm is
// idempotent, so the caller may repeat it after fault.KindUnknown.
func (p *Planner) Confirm(ctx context.Context, operator string, draft *Plan) (*Confirmation, error) {
	id, err := planID(draft.Base, &draft.Edit)
	if err != nil {
		return nil, err
	}
	if id != draft.ID {
		return nil, fault.Invalid("plan id", "does not match the plan's base and edit", "confirm the plan as it was returned")
	}
	base, err := p.load(ctx)
	if err != nil {
		return nil, err
	}
	if base.root.Includes(id) {
		return &Confirmation{Version: base.root.Version, Outcome: Repeated}, nil
	}
	if base.root.Version != draft.Base {
		return nil, fault.New(fault.KindConflict,
			fmt.Sprintf("the plan is based on version %d, the configuration is at version %d", draft.Base, base.root.Version),
			"plan again and review the new changes")
	}
	return p.commit(ctx, operator, draft, base)
}

// commit applies the plan's edit to base and commits the result with its audit record.
func (p *Planner) commit(ctx context.Context, operator string, draft *Plan, base *baseConfig) (*Confirmation, error) {
	next, err := draft.Edit.Apply(base.intent)
	if err != nil {
		return nil, err
	}
	version := base.root.Version + 1
	record, err := json.Marshal(AuditRecord{
		PlanID:   draft.ID,
		Operator: operator,
		Time:     p.clock().UTC(),
		From:     base.root.Version,
		To:       version,
		Changes:  Diff(base.intent, next),
		Outcome:  Committed,
		Previous: base.root.Audit,
	})
	if err != nil {
		return nil, fault.Wrap(fault.KindInvalid, err, "the audit record cannot be encoded", "report this error")
	}
	root, chunks, err := conf.Build(next, version, model.DigestOf(record), draft.ID)
	if err != nil {
		return nil, err
	}
	if _, err := conf.Commit(ctx, p.store, base.rootVersion, root, chunks, record); err != nil {
		return nil, err
	}
	return &Confirmation{Version: version, Outcome: Committed}, nil
}

// Audit returns at most limit records of the audit trail, newest first. On an
// error it also returns the records that were read before it.
func (p *Planner) Audit(ctx context.Context, limit int) ([]AuditRecord, error) {
	root, _, err := conf.ReadRoot(ctx, p.store)
	if fault.Is(err, fault.KindMissing) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []AuditRecord
	for next := root.Audit; next != "" && len(list) < limit; {
		r, err := p.readRecord(ctx, next)
		if err != nil {
			return list, err
		}
		list = append(list, *r)
		next = r.Previous
	}
	return list, nil
}

// readRecord reads an audit record and verifies its digest.
func (p *Planner) readRecord(ctx context.Context, d model.Digest) (*AuditRecord, error) {
	o, err := p.store.Get(ctx, store.KindAudit, string(d))
	if err != nil {
		return nil, err
	}
	if model.DigestOf(o.Value) != d {
		return nil, fault.Invalid("audit record "+string(d), "does not match its digest", "restore the record from the platform's backup")
	}
	r := new(AuditRecord)
	if err := json.Unmarshal(o.Value, r); err != nil {
		return nil, fault.Wrap(fault.KindInvalid, err, "audit record "+string(d)+" cannot be decoded", "restore the record from the platform's backup")
	}
	return r, nil
}
