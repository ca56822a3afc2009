package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the maximum number of lines queued for a slow writer:
	// about 0.6 MB at 300 bytes per line.
	maxQueuedLines = 2048
	// infoPerSecond and warnPerSecond limit the lines per second below level
	// warn, and at warn and above. The limits are separate so that lines on
	// successful requests never displace those on failures.
	infoPerSecond = 150
	warnPerSecond = 150
	// burstSeconds is the burst of each limit, in seconds of its rate.
	burstSeconds = 2
	// droppedReportInterval is the interval of the reports of dropped lines.
	droppedReportInterval = time.Second
)

// Bounded is a sink that writes log lines in the background. It never blocks the
// caller: it drops and counts lines that exceed the rate limit of their level,
// and lines that find the queue full because the writer is slow.
type Bounded struct {
	out       io.Writer
	lines     chan []byte
	info      *rate.Limiter
	warn      *rate.Limiter
	dropped   [2]atomic.Int64 // index 0: below warn; 1: warn and above
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewBounded returns a logger that writes records at the level or above to w, and
// the sink behind the logger, which must be closed to flush the queued lines.
func NewBounded(w io.Writer, level slog.Leveler) (*slog.Logger, *Bounded) {
	b := &Bounded{
		out: w, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{}),
		info: rate.NewLimiter(infoPerSecond, infoPerSecond*burstSeconds),
		warn: rate.NewLimiter(warnPerSecond, warnPerSecond*burstSeconds),
	}
	go b.writeLoop()
	return slog.New(&boundedHandler{sink: b, level: level}), b
}

// Close flushes the queued lines, for at most the given time, and stops the sink.
// Lines logged later are not written.
func (b *Bounded) Close(wait time.Duration) {
	b.closeOnce.Do(func() { close(b.closing) })
	select {
	case <-b.done:
	case <-time.After(wait):
	}
}

func (b *Bounded) writeLoop() {
	defer close(b.done)
	ticker := time.NewTicker(droppedReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		case <-ticker.C:
			b.reportDropped()
		case <-b.closing:
			b.flush()
			return
		}
	}
}

// flush writes the lines that are queued now.
func (b *Bounded) flush() {
	for range len(b.lines) {
		b.write(<-b.lines)
	}
	b.reportDropped()
}

// write writes a line. A write error loses the line but must not affect requests.
func (b *Bounded) write(line []byte) { _, _ = b.out.Write(line) }

// reportDropped writes the number of lines dropped since the last report, if any.
func (b *Bounded) reportDropped() {
	info, warn := b.dropped[0].Swap(0), b.dropped[1].Swap(0)
	if info+warn == 0 {
		return
	}
	_, _ = fmt.Fprintf(b.out, "time=%s level=WARN msg=\"log lines dropped\" info=%d warn=%d\n",
		time.Now().Format(time.RFC3339Nano), info, warn)
}

// Dropped returns the number of lines dropped since the last report.
func (b *Bounded) Dropped() int64 { return b.dropped[0].Load() + b.dropped[1].Load() }

// allow applies the rate limit of the level. It also returns the index of the
// level in dropped.
func (b *Bounded) allow(level slog.Level) (index int, ok bool) {
	if level < slog.LevelWarn {
		return 0, b.info.Allow()
	}
	return 1, b.warn.Allow()
}

// boundedHandler formats records as lines of key=value pairs and queues them.
type boundedHandler struct {
	sink  *Bounded
	level slog.Leveler
	attrs []slog.Attr
}

var _ slog.Handler = (*boundedHandler)(nil)

// Enabled implements slog.Handler.
func (h *boundedHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.level.Level()
}

// Handle implements slog.Handler.
func (h *boundedHandler) Handle(ctx context.Context, record slog.Record) error {
	index, ok := h.sink.allow(record.Level)
	if !ok {
		h.sink.dropped[index].Add(1)
		return nil
	}
	var line bytes.Buffer
	text := slog.NewTextHandler(&line, &slog.HandlerOptions{Level: h.level, ReplaceAttr: shortenErrors})
	if err := text.WithAttrs(h.attrs).Handle(ctx, record); err != nil {
		return err
	}
	select {
	case h.sink.lines <- line.Bytes():
	default:
		h.sink.dropped[index].Add(1)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (h *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	clone := *h
	clone.attrs = append(h.attrs[:len(h.attrs):len(h.attrs)], attrs...)
	return &clone
}

// WithGroup implements slog.Handler. It ignores groups, which the programs don't
// use.
func (h *boundedHandler) WithGroup(string) slog.Handler { return h }
