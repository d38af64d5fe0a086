package main

import (
	"fmt"
	"math/rand/v2"
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

// daemon is one process of the project, started with the command of deploy/system.toml.
type daemon struct {
	name         string
	front, ready string
	settings     string
	dir          string
	mu           sync.Mutex
	cmd          *exec.Cmd
	starts       int
}

// The ports of daemons are below those that the system gives to outgoing connections, which
// could take one while its daemon is down.
const firstPort, lastPort = 12000, 30000

// freePort returns a loopback port that nobody listens on, and not twice the same.
func freePort() int {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if usedPorts[port] {
			continue
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		usedPorts[port] = true
		_ = ln.Close()
		return port
	}
}

var usedPorts = make(map[int]bool)

// settingsText has the fields of the settings of Sugarleaf's machines, as `fleetbench wire` shows.
const settingsText = `self.nodeName=%[1]s
self.role=entry
self.machineClass=front
self.serves=front
self.ip=127.0.0.1
self.zone=%[2]s
self.region=hobart
self.faultCounted=false
self.bootstrap=true
self.limits.cpuShare=0.32
self.limits.cores=1
self.limits.memoryMb=284
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
network.listen.front=127.0.0.1:%[3]d
network.listen.ready=127.0.0.1:%[4]d
network.internalPortRange=%[5]d,%[5]d
network.zones.hobart-a=hobart
network.zones.hobart-b=hobart
platform.discovery=platform
platform.entry=vip
platform.heartbeat=1500ms
platform.platform.address=%[6]s
platform.platform.form=objects
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
platform.platform.history=20s
platform.platform.valueBytes=1048576
platform.platform.ttlMin=1000ms
timers.contracts=base,drain,config,cost,retry,recover,health,tenants,quota,platform
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
timers.bounds.retrySlack=60
timers.bounds.quotaWindow=5s
timers.bounds.quotaOvershoot=0.1
timers.bounds.quotaSlack=20
timers.bounds.recovery=15s
timers.bounds.probesPerS=3
timers.bounds.floorShare=0.7
`

// newDaemon writes the settings of a daemon.
func newDaemon(dir, name, zone, storeAddress string) (*daemon, error) {
	front, ready, peers := freePort(), freePort(), freePort()
	d := &daemon{name: name, dir: dir, settings: filepath.Join(dir, name+".conf"), front: fmt.Sprintf("127.0.0.1:%d", front), ready: fmt.Sprintf("127.0.0.1:%d", ready)}
	return d, os.WriteFile(d.settings, fmt.Appendf(nil, settingsText, name, zone, front, ready, peers, storeAddress), 0o600)
}

// start starts the process, also after it has ended.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts++
	log, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", d.name, d.starts)))
	if err != nil {
		return err
	}
	d.cmd = exec.Command(programPath, "entry")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RHUBARBDRIFT_BOOT=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d.cmd.Start()
}

// signal sends a signal to the process.
func (d *daemon) signal(sig syscall.Signal) { _ = d.cmd.Process.Signal(sig) }

// end kills the process and waits for its end.
func (d *daemon) end() {
	d.signal(syscall.SIGKILL)
	_ = d.cmd.Wait()
}

// isReady asks the readiness address.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			return true
		}
	}
	return false
}

// memory returns a field of /proc/PID/status of the process in KB, 0 if it has ended.
func (d *daemon) memory(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			n := 0
			_, _ = fmt.Sscan(value, &n)
			return n
		}
	}
	return 0
}
