package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// host is one machine of the system with its entry process. It plays the platform for that
// machine: it kills a process that exceeds its memory, and starts one that ended again.
type host struct {
	name, front, ready string
	settings           string
	memoryMB           int

	mu    sync.Mutex
	cmd   *exec.Cmd
	ends  []string // why the process ended, for each end
	done  bool
	peak  atomic.Int64 // MB
	waits sync.WaitGroup
}

// network is the part of the loopback addresses that the hosts of this run use, one address
// for each host. A listener on its first address keeps other runs from using it.
var network = sync.OnceValue(func() string {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		if _, err := net.Listen("tcp", prefix+".1:7359"); err == nil {
			return prefix
		}
	}
	check(fmt.Errorf("no free loopback addresses"))
	return ""
})

// started are the hosts of this run.
var started []*host

// stopAll ends all processes.
func stopAll() {
	var wait sync.WaitGroup
	for _, h := range started {
		wait.Go(h.stop)
	}
	wait.Wait()
	started = nil
}

// zones are the zones of a deployment, and regions those of each.
var (
	zones   = []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	regions = []string{"region-a", "region-b", "region-a", "region-b"}
)

// startHost starts a host in the first zone.
func startHost(dir, storeAddress string, number int) *host {
	return startHostIn(dir, storeAddress, number, 0)
}

func startHostIn(dir, storeAddress string, number, zone int) *host {
	ip := fmt.Sprintf("%s.%d", network(), 10+number)
	h := &host{
		name: fmt.Sprintf("front-%s-%d", zones[zone], number), front: ip + ":8689", ready: ip + ":8687",
		settings: filepath.Join(dir, fmt.Sprintf("boot-%d.conf", number)), memoryMB: 284,
	}
	text := fmt.Sprintf(`self.nodeName=%s
self.role=entry
self.machineClass=front
self.serves=front
self.ip=%s
self.zone=%s
self.region=%s
self.faultCounted=true
self.bootstrap=true
self.limits.cpuShare=0.32
self.limits.cores=1
self.limits.memoryMb=%d
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
network.listen.front=%s
network.listen.ready=%s
network.internalPortRange=7360,7375
network.zones.zone-a=region-a
network.zones.zone-b=region-b
network.zones.zone-c=region-a
network.zones.zone-d=region-b
platform.discovery=platform
platform.entry=vip
platform.heartbeat=1500ms
platform.platform.address=%s
platform.platform.form=objects
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
platform.platform.history=20s
platform.platform.valueBytes=1048576
timers.contracts=base,drain,config,cost,retry,recover,health,tenants,quota,platform
timers.bounds.contact=3000ms
timers.bounds.drain=2000ms
timers.bounds.grace=6s
timers.bounds.lossSlack=200ms
timers.bounds.configApply=2000ms
timers.bounds.revokeStrict=true
timers.bounds.revoke=5000ms
timers.bounds.retryBudgetRatio=0.2
timers.bounds.budgetWindow=10s
timers.bounds.retrySlack=58
timers.bounds.quotaWindow=5s
timers.bounds.quotaOvershoot=0.1
timers.bounds.quotaSlack=20
`, h.name, ip, zones[zone], regions[zone], h.memoryMB, h.front, h.ready, storeAddress)
	check(os.WriteFile(h.settings, []byte(text), 0o600))
	started = append(started, h)
	h.launch()
	return h
}

// launch starts the process as the deploy file says, from the root of the repository.
func (h *host) launch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.done {
		return
	}
	cmd := exec.Command("target/rhubarbdrift", "entry")
	cmd.Env = append(os.Environ(), "RHUBARBDRIFT_BOOT="+h.settings)
	log, err := os.OpenFile(strings.TrimSuffix(h.settings, ".conf")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd.Stdout, cmd.Stderr = log, log
	check(cmd.Start())
	h.cmd = cmd
	ended := make(chan struct{})
	h.waits.Add(2)
	go func() {
		defer h.waits.Done()
		err := cmd.Wait()
		close(ended)
		log.Close()
		h.mu.Lock()
		reason := "exited: " + fmt.Sprint(err)
		if n := len(h.ends); n > 0 && strings.HasPrefix(h.ends[n-1], "now: ") {
			h.ends[n-1] = strings.TrimPrefix(h.ends[n-1], "now: ")
		} else if !h.done {
			h.ends = append(h.ends, reason)
		}
		h.mu.Unlock()
		time.Sleep(500 * time.Millisecond) // the short delay of the platform
		go h.launch()
	}()
	go func() {
		defer h.waits.Done()
		h.watchMemory(cmd, ended)
	}()
}

// watchMemory kills the process once it exceeds its memory.
func (h *host) watchMemory(cmd *exec.Cmd, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		mb := residentMB(cmd.Process.Pid)
		if int64(mb) > h.peak.Load() {
			h.peak.Store(int64(mb))
		}
		if mb > h.memoryMB {
			h.mu.Lock()
			h.ends = append(h.ends, fmt.Sprintf("now: killed by the platform: %d MB resident, limit %d MB", mb, h.memoryMB))
			h.mu.Unlock()
			_ = cmd.Process.Kill()
			<-ended
			return
		}
	}
}

// residentMB returns the resident anonymous memory of a process, without the pages of its
// program file.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// isReady asks the ready address as the platform does.
func (h *host) isReady() bool {
	c, err := net.DialTimeout("tcp", h.ready, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
	buffer := make([]byte, 12)
	n, _ := c.Read(buffer)
	return string(buffer[:n]) == "HTTP/1.1 200"
}

// awaitReady waits until the host is ready, and reports whether it is.
func (h *host) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return true
		}
	}
	return false
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(sig)
}

// stop ends the process for good.
func (h *host) stop() {
	h.mu.Lock()
	h.done = true
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	_ = h.cmd.Process.Kill()
	h.mu.Unlock()
	h.waits.Wait()
}

func (h *host) endings() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.ends...)
}
