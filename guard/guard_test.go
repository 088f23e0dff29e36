package guard

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func TestMayClose(t *testing.T) {
	for name, x := range map[string]struct {
		connection Connection
		reason     HoldReason
		again      time.Duration
	}{
		"not looked at":               {Connection{ProcessEnding: true}, SocketNotDrained, 0},
		"rests":                       {Connection{SocketDrained: true}, NotHeld, 0},
		"owes":                        {Connection{SocketDrained: true, ResponsesPending: true}, PendingResponses, recheckInterval},
		"peer was told just now":      {Connection{SocketDrained: true, NoticeRemaining: time.Second}, NoticePeriod, time.Second},
		"message goes on":             {Connection{SocketDrained: true, MessagePartial: true, IdleFor: 1, StallTimeout: 3}, PartialMessage, 2},
		"message stands still":        {Connection{SocketDrained: true, MessagePartial: true, IdleFor: 3, StallTimeout: 3}, NotHeld, 0},
		"message takes for ever":      {Connection{SocketDrained: true, MessagePartial: true, StallTimeout: 3, MessageAge: MaxMessageTime}, NotHeld, 0},
		"process ends, answers owed":  {Connection{SocketDrained: true, ProcessEnding: true, ResponsesPending: true}, NotHeld, 0},
		"message stands, within note": {Connection{SocketDrained: true, MessagePartial: true, NoticeRemaining: time.Second}, NotHeld, 0},
	} {
		if reason, again := MayClose(x.connection); reason != x.reason || again != x.again {
			t.Errorf("%s: %q after %v, want %q after %v", name, reason, again, x.reason, x.again)
		}
	}
}

func TestMayContinue(t *testing.T) {
	for name, x := range map[string]struct {
		input Input
		want  error
	}{
		"one bad message":   {Input{InvalidMessages: 1}, nil},
		"as many as may be": {Input{ValidMessages: MaxInvalidMessages, InvalidMessages: MaxInvalidMessages, SkippedBytes: MaxSkippedBytes}, nil},
		"too many":          {Input{ValidMessages: MaxInvalidMessages, InvalidMessages: MaxInvalidMessages + 1}, ErrTooManyInvalid},
		"nothing else":      {Input{InvalidMessages: InitialInvalidMessages + 1}, ErrTooManyInvalid},
		"no more messages":  {Input{ValidMessages: 1, SkippedBytes: MaxSkippedBytes + 1}, ErrNoMessages},
		"no messages":       {Input{SkippedBytes: InitialSkippedBytes + 1}, ErrNoMessages},
	} {
		if err := MayContinue(x.input); !errors.Is(err, x.want) {
			t.Errorf("%s: %v, want %v", name, err, x.want)
		}
	}
}

func TestMayExit(t *testing.T) {
	for name, x := range map[string]struct {
		exit   Exit
		reason HoldReason
	}{
		"all is answered":  {Exit{Checks: 1}, NotHeld},
		"someone connects": {Exit{PendingConnections: 1, OpenConnections: 1}, PendingConnections},
		"unread":           {Exit{OpenConnections: 1, UnansweredRequests: 1}, OpenConnections},
		"unanswered":       {Exit{UnansweredRequests: 1}, PendingResponses},
		"for ever":         {Exit{PendingConnections: 1, OpenConnections: 1, UnansweredRequests: 1, Checks: maxExitChecks}, NotHeld},
	} {
		reason, again := MayExit(x.exit)
		if reason != x.reason || (again > 0) != (reason != NotHeld) {
			t.Errorf("%s: %q after %v, want %q", name, reason, again, x.reason)
		}
	}
}

func TestMayRetry(t *testing.T) {
	for name, x := range map[string]struct {
		err      error
		failures int
		want     error
	}{
		"interrupted":          {syscall.EINTR, 1, nil},
		"of a packet":          {os.NewSyscallError("write", syscall.EHOSTUNREACH), 1, nil},
		"not known":            {syscall.EIO, MaxConsecutiveFailures, nil},
		"again and again":      {syscall.EIO, MaxConsecutiveFailures + 1, ErrTooManyFailures},
		"reset":                {os.NewSyscallError("read", syscall.ECONNRESET), 1, ErrConnectionEnded},
		"no longer there":      {syscall.EPIPE, 1, ErrConnectionEnded},
		"the end":              {io.EOF, 1, ErrConnectionEnded},
		"no system call's own": {net.ErrClosed, 1, ErrConnectionEnded},
	} {
		if err := MayRetry(x.err, x.failures); !errors.Is(err, x.want) {
			t.Errorf("%s: %v, want %v", name, err, x.want)
		}
	}
}

func TestMayStart(t *testing.T) {
	for name, x := range map[string]struct {
		start Start
		want  error
	}{
		"held":                        {Start{}, nil},
		"answered":                    {Start{Answered: true}, ErrAnswered},
		"running":                     {Start{Running: true}, ErrRunning},
		"read in the grace":           {Start{Draining: true, ReadBy: 5, GraceEnd: 5}, nil},
		"read after the grace":        {Start{Draining: true, ReadBy: 6, GraceEnd: 5}, ErrAfterGrace},
		"paused before, resumed":      {Start{Draining: true, ReadBy: 6, GraceEnd: 5, Resumed: true}, nil},
		"its key ran in the window":   {Start{KeyRan: true}, ErrKeyRan},
		"after the grace and key ran": {Start{Draining: true, ReadBy: 6, GraceEnd: 5, KeyRan: true}, ErrKeyRan},
	} {
		if err := MayStart(x.start); !errors.Is(err, x.want) {
			t.Errorf("%s: %v, want %v", name, err, x.want)
		}
	}
}

func TestMayCall(t *testing.T) {
	for name, x := range map[string]struct {
		call Call
		want error
	}{
		"first":                     {Call{Needed: true}, nil},
		"nobody waits":              {Call{}, ErrCallNotNeeded},
		"out":                       {Call{Needed: true, InFlight: true}, ErrCallInFlight},
		"again, with an effect":     {Call{Needed: true, Attempted: true}, ErrMayHaveRun},
		"again, as it was not seen": {Call{Needed: true, Attempted: true, ProvenWithoutEffect: true}, nil},
		"again, without an effect":  {Call{Needed: true, Attempted: true, Idempotent: true}, nil},
	} {
		if err := MayCall(x.call); !errors.Is(err, x.want) {
			t.Errorf("%s: %v, want %v", name, err, x.want)
		}
	}
}

func TestMayShedAndAnswer(t *testing.T) {
	if err := MayShed(Shed{MayHaveRun: true}); !errors.Is(err, ErrMayHaveRun) {
		t.Errorf("after a run: %v", err)
	}
	if err := MayShed(Shed{MayHaveRun: true, Idempotent: true}); err != nil {
		t.Errorf("a read after a run: %v", err)
	}
	if err := MayAnswer(true); !errors.Is(err, ErrAnswered) {
		t.Errorf("a second answer: %v", err)
	}
	if err := MayAnswer(false); err != nil {
		t.Errorf("a first answer: %v", err)
	}
}

func TestMonitor_CountsByRule(t *testing.T) {
	m := NewMonitor(slog.New(slog.DiscardHandler))
	m.Violated(LostRequest, "request", "a")
	m.Denied(DrainStart, ErrAfterGrace, "b")
	m.Denied(DrainStart, ErrAfterGrace, "c")
	for _, rule := range Rules {
		wantViolations, wantDenials := int64(0), int64(0)
		switch rule {
		case LostRequest:
			wantViolations = 1
		case DrainStart:
			wantDenials = 2
		}
		if m.Violations(rule) != wantViolations || m.Denials(rule) != wantDenials {
			t.Errorf("%s: %d violations, %d denials", rule, m.Violations(rule), m.Denials(rule))
		}
	}
	var none *Monitor
	none.Violated(LostRequest)
	none.Denied(LostRequest, ErrAnswered, "")
	if none.Violations(LostRequest) != 0 || none.Denials(LostRequest) != 0 {
		t.Error("a nil monitor counts")
	}
}
