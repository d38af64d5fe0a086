package bench

import (
	"bufio"
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"rhubarbdrift.example/fault"
)

// tick is the unit of CPU times in /proc on Linux (USER_HZ is 100).
const tick = 10 * time.Millisecond

var addressPattern = regexp.MustCompile(`address=(\S+)`)

// process is a running instance of the program.
type process struct {
	cmd     *exec.Cmd
	address string // that it listens on: the first one in its output
}

// start runs the program and waits until it logs the address that it listens
// on. Its remaining output is discarded. The process is not ended with ctx.
func start(ctx context.Context, program string, args ...string) (*process, error) {
	p := &process{cmd: exec.CommandContext(context.WithoutCancel(ctx), program, args...)} // #nosec G204 -- the caller names the program
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	err = p.cmd.Start()
	_ = w.Close()
	if err != nil {
		return nil, fault.Wrap(fault.KindMissing, err, "cannot start "+program, "build the program first")
	}
	lines := bufio.NewReader(r)
	for p.address == "" {
		line, err := lines.ReadString('\n')
		if m := addressPattern.FindStringSubmatch(line); m != nil {
			p.address = m[1]
		}
		if err != nil {
			return nil, errors.Join(fault.New(fault.KindUnavailable, "the process exited: "+line, "run it by hand: "+program+" "+strings.Join(args, " ")), p.stop())
		}
	}
	go func() { _, _ = io.Copy(io.Discard, lines) }()
	return p, nil
}

// stop sends SIGTERM, as an operator does, and waits for the process to exit.
func (p *process) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return p.cmd.Wait()
}

// cpuTime returns the user and system CPU time that the process has used.
func (p *process) cpuTime() (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	if err != nil {
		return 0, err
	}
	// The second field, the name in parentheses, may contain spaces; user and
	// system time are the 12th and 13th fields after it.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	var ticks int
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * tick, nil
}

// memory returns the resident memory of the process in MB.
func (p *process) memory() (float64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/statm")
	if err != nil {
		return 0, err
	}
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages*os.Getpagesize()) / (1 << 20), err
}
