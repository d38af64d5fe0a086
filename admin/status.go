package admin

import "rhubarbdrift.example/model"

// Status is the state of a daemon and its view of the fleet.
type Status struct {
	Host              model.HostID        `json:"host"`
	Region            model.Region        `json:"region"`
	Domain            model.Domain        `json:"domain"`
	Cell              model.CellName      `json:"cell"`
	Version           model.ConfigVersion `json:"version"`
	Fresh             bool                `json:"fresh"`    // configuration confirmed recently enough to serve routes that need a key
	Accepted          bool                `json:"accepted"` // no daemon of the cell serves an older version any more
	Ready             bool                `json:"ready"`
	PlatformReachable bool                `json:"platform"`         // the platform answered while this status was made
	Shards            []model.Shard       `json:"shards,omitempty"` // shards whose limits this daemon owns
	Cells             []CellStatus        `json:"cells,omitempty"`
	Daemons           []DaemonStatus      `json:"daemons,omitempty"`
	Targets           []TargetStatus      `json:"targets,omitempty"`
	Customers         []CustomerStatus    `json:"customers,omitempty"`
}

// CellStatus is the state of one cell and its configuration in force. A change is
// in force in the whole fleet once every cell has accepted it.
type CellStatus struct {
	Cell     model.CellName      `json:"cell"`
	Reached  bool                `json:"reached"`  // a member of the cell answered
	Hosts    int                 `json:"hosts"`    // in the roster
	Live     int                 `json:"live"`     // live and not leaving
	Version  model.ConfigVersion `json:"version"`  // in force on the member that answered
	Accepted model.ConfigVersion `json:"accepted"` // highest version that the cell has accepted
}

// DaemonStatus is the last known state of a daemon in the same cell.
type DaemonStatus struct {
	Host           model.HostID        `json:"host"`
	Version        model.ConfigVersion `json:"version"`
	Live           bool                `json:"live"`
	SinceHeartbeat model.Millis        `json:"seen"` // time since its last heartbeat
}

// TargetStatus is a target's verdict and the evidence for it.
type TargetStatus struct {
	Pool     model.PoolID   `json:"pool"`
	Target   model.TargetID `json:"target"`
	Verdict  string         `json:"verdict"`
	Scope    string         `json:"scope,omitempty"`    // failure domain whose daemons the verdict applies to; empty: all
	Evidence string         `json:"evidence,omitempty"` // key=value pairs
	Running  int            `json:"running"`            // requests in flight from this daemon
}

// CustomerStatus is a customer's limit and the number of its requests that this
// daemon admitted and refused.
type CustomerStatus struct {
	Customer model.CustomerID `json:"customer"`
	Rate     model.Rate       `json:"rate"`
	Burst    model.Burst      `json:"burst"`
	Admitted uint64           `json:"admitted"`
	Refused  uint64           `json:"refused"`
}
