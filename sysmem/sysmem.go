// Package sysmem reads what the system lets this process use of its machine, and sets the
// soft memory limit of the Go runtime. Package budget decides what follows from it.
//
// # Usage
//
//	m := sysmem.System(sysmem.Machine{Memory: 184 << 20}) // the descriptors are those of the system
//	sysmem.SetRuntimeLimit(m)
package sysmem

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"rhubarbdrift.example/budget"
)

const (
	// unknownMemory and unknownDescriptors are used where the system does not tell.
	unknownMemory      = 1 << 30
	unknownDescriptors = 1024
	// memoryLimitEnv sets the runtime's soft limit, which then takes precedence.
	memoryLimitEnv = "GOMEMLIMIT"
)

// Machine is what the process may use of its machine.
type Machine struct {
	Memory      int64 // bytes
	Descriptors int
}

// System fills the fields of a machine that are 0 with what the system reports.
func System(m Machine) Machine {
	if m.Memory == 0 {
		m.Memory = systemMemory()
	}
	if m.Descriptors == 0 {
		m.Descriptors = unknownDescriptors
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
			m.Descriptors = int(min(limit.Cur, 1<<20))
		}
	}
	return m
}

// systemMemory returns MemTotal of /proc/meminfo.
func systemMemory() int64 {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return unknownMemory
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			if kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64); err == nil {
				return kb << 10
			}
		}
	}
	return unknownMemory
}

// SetRuntimeLimit sets the soft memory limit of the Go runtime, unless the environment sets
// it.
func SetRuntimeLimit(m Machine) {
	if os.Getenv(memoryLimitEnv) == "" {
		debug.SetMemoryLimit(budget.RuntimeLimit(m.Memory))
	}
}

// OpenDescriptors returns the number of descriptors that the process has open, or 0 if the
// system does not tell.
func OpenDescriptors() int {
	d, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer func() { _ = d.Close() }()
	names, err := d.Readdirnames(-1)
	if err != nil {
		return 0
	}
	return len(names) - 1 // without that of the directory
}
