package entry

import (
	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/sysmem"
)

// buildAccount creates the account for memory and divides the descriptors.
func (e *Entry) buildAccount() {
	s := e.settings
	e.machine = sysmem.System(sysmem.Machine{Memory: s.Memory, Descriptors: s.Descriptors})
	limits := budget.ForMemory(e.machine.Memory)
	if s.HeldBytes > 0 {
		limits.Total = s.HeldBytes
	}
	e.account = budget.New(limits)
	e.callerConnections, e.targetConnections = budget.Connections(e.machine.Descriptors, limits)
	if s.CallerConnections > 0 {
		e.callerConnections = s.CallerConnections
	}
}
