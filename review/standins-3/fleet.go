package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Host is one entry host: the program of the deploy file as a process, with settings of its own.
type Host struct {
	Name, IP, Zone, Region string
	Front, Ready           string
	settings, log          string
	mu                     sync.Mutex
	cmd                    *exec.Cmd
	done                   chan struct{}
}

// Fleet is a number of entry hosts with one store.
type Fleet struct {
	Dir     string
	Program string
	Store   *Store
	Hosts   []*Host
	Record  *Record
}

// ports of a host, relative to the first one of a fleet.
const (
	portFront = iota
	portReady
	portPeers
	portsOfHost = 16
)

// freeBase returns a port from which on a block of ports is free on an address.
func freeBase(ip string) int {
	for base := 21000; base < 31000; base += 64 {
		free := true
		for i := range portsOfHost {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return base
		}
	}
	panic("no free ports")
}

// NewFleet prepares hosts, which zones place: one host for each element, "zone/region".
func NewFleet(dir, program string, record *Record, zones ...string) (*Fleet, error) {
	f := &Fleet{Dir: dir, Program: program, Record: record}
	net3 := 1 + os.Getpid()%200
	store, err := NewStore(fmt.Sprintf("127.77.%d.250:0", net3))
	if err != nil {
		return nil, err
	}
	f.Store = store
	names := make(map[string]string)
	for _, z := range zones {
		zone, region, _ := strings.Cut(z, "/")
		names[zone] = region
	}
	for i, z := range zones {
		zone, region, _ := strings.Cut(z, "/")
		h := &Host{Name: fmt.Sprintf("front-%s-%d", zone, i+1), IP: fmt.Sprintf("127.77.%d.%d", net3, i+1), Zone: zone, Region: region}
		base := freeBase(h.IP)
		h.Front, h.Ready = fmt.Sprintf("%s:%d", h.IP, base+portFront), fmt.Sprintf("%s:%d", h.IP, base+portReady)
		h.settings, h.log = filepath.Join(dir, h.Name+".conf"), filepath.Join(dir, h.Name+".log")
		text := fmt.Sprintf(`self.nodeName=%s
self.role=entry
self.machineClass=front
self.serves=front
self.ip=%s
self.zone=%s
self.region=%s
self.bootstrap=true
self.limits.cpuShare=0.32
self.limits.cores=1
self.limits.memoryMb=284
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
network.listen.front=%s
network.listen.ready=%s
network.internalPortRange=%d,%d
network.seeds=
platform.discovery=platform
platform.entry=vip
platform.heartbeat=1500ms
platform.platform.address=%s
platform.platform.form=objects
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
platform.platform.history=20s
platform.platform.valueBytes=1048576
platform.platform.ttlMin=1000ms
timers.contracts=base,drain,config,cost,retry,recover,health,tenants,quota,platform
timers.faultTolerance.machines=2
timers.faultTolerance.zones=0
timers.faultTolerance.regions=0
timers.bounds.seedLag=3s
timers.bounds.addrReuse=2s
timers.bounds.contact=3000ms
timers.bounds.ack=4000ms
timers.bounds.catchUp=4s
timers.bounds.drain=2000ms
timers.bounds.grace=6s
timers.bounds.lossSlack=200ms
timers.bounds.configApply=2000ms
timers.bounds.rollbackSlack=250ms
timers.bounds.maxSkew=5000ms
timers.bounds.revokeStrict=true
timers.bounds.revoke=5000ms
timers.bounds.retryBudgetRatio=0.2
timers.bounds.budgetWindow=10s
timers.bounds.retrySlack=58
timers.bounds.quotaWindow=5s
timers.bounds.quotaOvershoot=0.1
timers.bounds.quotaSlack=20
timers.bounds.recovery=15s
timers.bounds.probesPerS=3
timers.bounds.floorShare=0.7
`, h.Name, h.IP, zone, region, h.Front, h.Ready, base+portPeers, base+portsOfHost-1, store.Address)
		for zone, region := range names {
			text += fmt.Sprintf("network.zones.%s=%s\n", zone, region)
		}
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		f.Hosts = append(f.Hosts, h)
	}
	return f, nil
}

// Start starts the host's process.
func (f *Fleet) Start(h *Host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(f.Program, "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.Dir, "LANG=C", "RHUBARBDRIFT_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.cmd, h.done = cmd, done
	go func() {
		err := cmd.Wait()
		f.Record.Add("%s: process ended (%v)", h.Name, err)
		close(done)
	}()
	f.Record.Add("%s: process started", h.Name)
	return nil
}

// StartAll starts all hosts.
func (f *Fleet) StartAll() error {
	for _, h := range f.Hosts {
		if err := f.Start(h); err != nil {
			return err
		}
	}
	return nil
}

// Signal sends a signal to the host's process.
func (f *Fleet) Signal(h *Host, sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	f.Record.Add("%s: signal %s", h.Name, sig)
	_ = h.cmd.Process.Signal(sig) // fails only if the process has ended
}

// Wait waits until the host's process has ended, and reports whether it did in time.
func (h *Host) Wait(limit time.Duration) bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// IsReady asks the host as the platform does.
func (h *Host) IsReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.Ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all given hosts are ready.
func (f *Fleet) AwaitReady(limit time.Duration, hosts ...*Host) bool {
	end := time.Now().Add(limit)
	for _, h := range hosts {
		for !h.IsReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

// Close ends all processes that the fleet started.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
		}
		done := h.done
		h.mu.Unlock()
		if done != nil {
			<-done
		}
	}
}

// Record is what was sent, answered and run, in the order of time.
type Record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

// NewRecord returns an empty record whose times count from now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.4f  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)))
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}
