package admin

import "rhubarbdrift.example/model"

// Status is what a daemon knows about itself and its fleet.
type Status struct {
	Host      model.HostID        `json:"host"`
	Region    model.Region        `json:"region"`
	Domain    model.Domain        `json:"domain"`
	Cell      model.CellName      `json:"cell"`
	Version   model.ConfigVersion `json:"version"`
	Fresh     bool                `json:"fresh"`    // serves keyed routes
	Accepted  bool                `json:"accepted"` // the version is in force in this cell
	Ready     bool                `json:"ready"`
	Platform  bool                `json:"platform"` // reached in the last period
	Shards    []model.Shard       `json:"shards,omitempty"`
	Cells     []CellStatus        `json:"cells,omitempty"`
	Daemons   []DaemonStatus      `json:"daemons,omitempty"`
	Targets   []TargetStatus      `json:"targets,omitempty"`
	Customers []CustomerStatus    `json:"customers,omitempty"`
}

// CellStatus is the configuration in force in one cell of the fleet. A change
// is accepted in the fleet once it is accepted in every cell.
type CellStatus struct {
	Cell     model.CellName      `json:"cell"`
	Reached  bool                `json:"reached"` // a member answered
	Hosts    int                 `json:"hosts"`
	Live     int                 `json:"live"`
	Version  model.ConfigVersion `json:"version"`
	Accepted model.ConfigVersion `json:"accepted"`
}

// DaemonStatus is the last known state of a member of the cell.
type DaemonStatus struct {
	Host    model.HostID        `json:"host"`
	Version model.ConfigVersion `json:"version"`
	Live    bool                `json:"live"`
	Seen    model.Millis        `json:"seen"` // time since its last heartbeat
}

// TargetStatus is a target with its verdict and the evidence for it.
type TargetStatus struct {
	Pool     model.PoolID   `json:"pool"`
	Target   model.TargetID `json:"target"`
	Verdict  string         `json:"verdict"`
	Scope    string         `json:"scope,omitempty"`    // a failure domain, or empty for all
	Evidence string         `json:"evidence,omitempty"` // short numbers
	Running  int            `json:"running"`            // requests of this daemon
}

// CustomerStatus is a customer with its limit and its use on this daemon.
type CustomerStatus struct {
	Customer model.CustomerID `json:"customer"`
	Rate     model.Rate       `json:"rate"`
	Burst    model.Burst      `json:"burst"`
	Admitted uint64           `json:"admitted"`
	Refused  uint64           `json:"refused"`
}
