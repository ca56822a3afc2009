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
	// queueLines is the number of lines that wait for a slow reader. At 300
	// bytes a line they take about half a megabyte.
	queueLines = 2048
	// infoPerSecond and warnPerSecond bound the lines of a level. Lines of
	// decisions that end badly have a bound of their own, so that good news
	// never crowds them out.
	infoPerSecond = 150
	warnPerSecond = 150
	// burstSeconds is for how long a level may exceed its rate.
	burstSeconds = 2
	// omittedInterval is the time between two lines that count what was left
	// out.
	omittedInterval = time.Second
)

// Bounded writes log lines in the background. It never blocks the caller:
// lines over a level's rate, and lines that a slow reader leaves no room for,
// are left out and counted.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	info    *rate.Limiter
	warn    *rate.Limiter
	omitted [2]atomic.Int64 // below warn, and the others
	done    chan struct{}
	stop    sync.Once
}

// NewBounded returns a logger that writes events at the level or above to w,
// and the sink behind it. Close flushes the sink.
func NewBounded(w io.Writer, level slog.Leveler) (*slog.Logger, *Bounded) {
	b := &Bounded{
		out: w, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		info: rate.NewLimiter(infoPerSecond, infoPerSecond*burstSeconds),
		warn: rate.NewLimiter(warnPerSecond, warnPerSecond*burstSeconds),
	}
	go b.write()
	return slog.New(&boundedHandler{sink: b, level: level}), b
}

// Close writes what is queued and stops. Later lines are left out.
func (b *Bounded) Close(wait time.Duration) {
	late := time.After(wait)
	b.stop.Do(func() {
		select {
		case b.lines <- nil:
		case <-late:
		}
	})
	select {
	case <-b.done:
	case <-late:
	}
}

func (b *Bounded) write() {
	defer close(b.done)
	ticker := time.NewTicker(omittedInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			if line == nil {
				b.report()
				return
			}
			// A reader that is gone costs lines, not requests.
			_, _ = b.out.Write(line)
		case <-ticker.C:
			b.report()
		}
	}
}

// report writes how many lines were left out since the last report.
func (b *Bounded) report() {
	info, warn := b.omitted[0].Swap(0), b.omitted[1].Swap(0)
	if info+warn == 0 {
		return
	}
	_, _ = fmt.Fprintf(b.out, "time=%s level=WARN msg=\"log lines left out\" info=%d warn=%d\n",
		time.Now().Format(time.RFC3339Nano), info, warn)
}

// Omitted returns the lines left out since the last report.
func (b *Bounded) Omitted() int64 { return b.omitted[0].Load() + b.omitted[1].Load() }

func (b *Bounded) allow(level slog.Level) (kind int, ok bool) {
	if level < slog.LevelWarn {
		return 0, b.info.Allow()
	}
	return 1, b.warn.Allow()
}

// boundedHandler formats lines of key=value pairs.
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
	kind, ok := h.sink.allow(record.Level)
	if !ok {
		h.sink.omitted[kind].Add(1)
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
		h.sink.omitted[kind].Add(1)
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (h *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *h
	next.attrs = append(h.attrs[:len(h.attrs):len(h.attrs)], attrs...)
	return &next
}

// WithGroup implements slog.Handler. The programs use no groups.
func (h *boundedHandler) WithGroup(string) slog.Handler { return h }
