package overhead

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// measureIdle returns the fraction of a core and the resident memory that the
// gateway uses while idle, measured over d.
func (m *meter) measureIdle(ctx context.Context, d time.Duration) (cpuFraction float64, bytes int64) {
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

// clockTick is the unit of CPU time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat after the program's name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// cpuTime returns the user and system CPU time that a process has used, or 0 if
// it has ended.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The program's name may contain spaces; it ends at the parenthesis.
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
