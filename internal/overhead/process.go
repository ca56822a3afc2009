package overhead

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// idle returns the share of a core and the resident memory of the gateway
// while it carries no requests.
func (m *meter) idle(ctx context.Context, d time.Duration) (share float64, bytes int64) {
	before := cpuTime(m.gateway.PID())
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return float64(cpuTime(m.gateway.PID())-before) / float64(d), residentBytes(m.gateway.PID())
}

// residentBytes returns the resident memory of a process, or 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}

// clockTick is the unit in which the kernel counts processor time.
const clockTick = 10 * time.Millisecond

// The fields of /proc/PID/stat after the program's name, counted from 0.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// cpuTime returns the processor time that a process has used, or 0 if it has
// ended.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name may hold spaces; it ends with the last parenthesis.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystemTime {
		return 0
	}
	ticks := 0
	for _, i := range []int{fieldUserTime, fieldSystemTime} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}
