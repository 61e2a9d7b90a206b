package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of a small deployment, as in the site file that claim.txt names.
const (
	machineMemoryMB = 284
	machineCPUShare = 0.32
	gracePeriod     = 6 * time.Second
	restartDelay    = 500 * time.Millisecond
)

var zones = map[string]string{"bkk-a": "bkk", "cnx-a": "cnx", "hdy-a": "hdy", "bkk-b": "bkk", "cnx-b": "cnx", "hdy-b": "hdy"}

// host is one machine of the system with its process. The platform starts the process again
// after it has ended.
type host struct {
	rig   *rig
	name  string
	ip    string
	path  string // of the settings file
	log   *os.File
	ports ports

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // the process is not started again
	ends    []processEnd
	exited  chan struct{}
}

type ports struct{ front, ready, control, directory, internal int }

// processEnd is an end of a process.
type processEnd struct {
	at      time.Time
	cause   string // why the platform ended it, "" if it ended by itself
	started time.Time
}

func (h *host) front() string { return h.ip + ":" + strconv.Itoa(h.ports.front) }

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) (ports, error) {
	for base := 21000 + os.Getpid()%200*100; base < 60000; base += 37 {
		p := ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, internal: base + 4}
		if allFree(ips, []int{p.front, p.ready, p.control, p.directory, p.internal, p.internal + 1}) {
			return p, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func allFree(ips []string, candidates []int) bool {
	for _, ip := range ips {
		for _, port := range candidates {
			l, err := net.Listen("tcp", ip+":"+strconv.Itoa(port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// newHosts writes the settings of hosts in the given zones. It starts no process.
func newHosts(r *rig, zoneOf []string) ([]*host, error) {
	var ips []string
	for i := range zoneOf {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()/250%200, 1+os.Getpid()%250, i+1))
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, ip+":"+strconv.Itoa(p.control))
	}
	var out []*host
	for i, zone := range zoneOf {
		h := &host{rig: r, name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: ips[i], ports: p}
		h.path = filepath.Join(r.dir, h.name+".json")
		if h.log, err = os.Create(filepath.Join(r.dir, h.name+".log")); err != nil {
			return nil, err
		}
		raw, err := json.Marshal(h.settings(zone, seeds))
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(h.path, raw, 0o600); err != nil {
			return nil, err
		}
		out = append(out, h)
	}
	return out, nil
}

func (h *host) settings(zone string, seeds []string) map[string]any {
	address := func(port int) string { return h.ip + ":" + strconv.Itoa(port) }
	return map[string]any{
		"Node": h.name, "Role": "entry", "MachineClass": "edge", "Serves": []string{"edge", "directory", "control"},
		"Ip": h.ip, "Zone": zone, "Region": zones[zone], "Zones": zones,
		"Listen":        map[string]any{"Front": address(h.ports.front), "Ready": address(h.ports.ready), "Directory": address(h.ports.directory), "Control": address(h.ports.control)},
		"InternalPorts": []int{h.ports.internal, h.ports.internal + 1}, "Seeds": seeds, "Bootstrap": true, "CountsAsLoss": false,
		"Limits":    map[string]any{"CpuShare": machineCPUShare, "Cores": 1, "MemoryMb": machineMemoryMB, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"Discovery": "platform", "Entry": "directory", "Heartbeat": "1500ms",
		"Tolerate": map[string]any{"Machines": 2, "Zones": 1, "Regions": 1},
		"Bounds": map[string]any{
			"SeedLag": "3s", "ReuseAfter": "2s", "Stability": "4000ms", "Ack": "5000ms", "CatchUp": "4s", "Drain": "2500ms", "Grace": gracePeriod.String(),
			"LossSlack": "200ms", "Config": "2500ms", "Downgrade": "250ms", "MaxSkew": "6000ms", "RetryBudget": 0.2, "BudgetWindow": "10s",
			"BudgetExtra": 56, "ColdFactor": 1.5, "ColdSlack": 5, "Evac": "5000ms", "Recover": "15s", "ttl_max": "5s", "MaxShift": 0.15,
		},
		"Provider": map[string]any{
			"Address": h.rig.store.address(), "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "Tx": "6ms", "PwritesPerS": 200,
			"RowBytes": 65536, "Across": false, "History": "20s", "BlobBytes": 8388608, "Blob": "25ms", "BlobMbS": 80.0,
		},
	}
}

// start starts the process as deploy/system.toml does.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	cmd := exec.Command(h.rig.binary, "entry")
	cmd.Dir = h.rig.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONTRACK_NODE_FILE=" + h.path}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	started := time.Now()
	h.cmd, h.exited = cmd, make(chan struct{})
	h.rig.record("platform", "starts %s, process %d", h.name, cmd.Process.Pid)
	fmt.Fprintln(h.rig.pids, cmd.Process.Pid)
	go h.await(cmd, started, h.exited)
	return nil
}

// await waits for the end of a process and starts the next one.
func (h *host) await(cmd *exec.Cmd, started time.Time, exited chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	end := processEnd{at: time.Now(), started: started, cause: h.rig.causeOf(cmd)}
	h.ends = append(h.ends, end)
	stopped := h.stopped
	h.mu.Unlock()
	h.rig.record("platform", "%s has ended: %v, cause %q", h.name, err, end.cause)
	close(exited)
	if stopped {
		return
	}
	time.Sleep(restartDelay)
	if err := h.start(); err != nil {
		h.rig.record("platform", "%s can't be started: %v", h.name, err)
	}
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	cmd := h.cmd
	h.mu.Unlock()
	h.rig.record("platform", "sends %v to %s", s, h.name)
	_ = cmd.Process.Signal(s)
}

// stop ends the process for good.
func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	h.rig.setCause(cmd, "end of the test")
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

func (h *host) processEnds() []processEnd {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]processEnd(nil), h.ends...)
}

// anonymousBytes returns the private memory of the process that no file backs.
func (h *host) anonymousBytes() int64 {
	h.mu.Lock()
	cmd := h.cmd
	h.mu.Unlock()
	if cmd == nil {
		return 0
	}
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// enforceMemory ends processes that exceed the memory of their machine, as the platform does.
func (r *rig) enforceMemory() {
	peaks := make(map[*host]int64)
	for range time.Tick(5 * time.Millisecond) {
		for _, h := range r.hosts {
			n := h.anonymousBytes()
			if n > peaks[h]+(16<<20) {
				peaks[h] = n
				r.record("platform", "%s uses %d MB", h.name, n>>20)
			}
			if n <= machineMemoryMB<<20 {
				continue
			}
			r.record("platform", "%s uses %d MB, limit %d MB: ends it", h.name, n>>20, machineMemoryMB)
			peaks[h] = 0
			h.mu.Lock()
			cmd := h.cmd
			h.mu.Unlock()
			r.setCause(cmd, memoryCause)
			_ = cmd.Process.Kill()
			time.Sleep(20 * time.Millisecond)
		}
	}
}

const memoryCause = "memory over the limit"

// ready asks the process whether it is ready.
func (h *host) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + h.ip + ":" + strconv.Itoa(h.ports.ready) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
