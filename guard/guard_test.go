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
		retryAfter time.Duration
	}{
		"socket not drained":        {Connection{ProcessEnding: true}, SocketNotDrained, 0},
		"idle":                      {Connection{SocketDrained: true}, NotHeld, 0},
		"response pending":          {Connection{SocketDrained: true, ResponsesPending: true}, PendingResponses, recheckInterval},
		"peer notified just now":    {Connection{SocketDrained: true, NoticeRemaining: time.Second}, NoticePeriod, time.Second},
		"message still arrives":     {Connection{SocketDrained: true, MessagePartial: true, IdleFor: 1, StallTimeout: 3}, PartialMessage, 2},
		"message stalls":            {Connection{SocketDrained: true, MessagePartial: true, IdleFor: 3, StallTimeout: 3}, NotHeld, 0},
		"message takes too long":    {Connection{SocketDrained: true, MessagePartial: true, StallTimeout: 3, MessageAge: MaxMessageTime}, NotHeld, 0},
		"exit, response pending":    {Connection{SocketDrained: true, ProcessEnding: true, ResponsesPending: true}, NotHeld, 0},
		"message stalls, in notice": {Connection{SocketDrained: true, MessagePartial: true, NoticeRemaining: time.Second}, NotHeld, 0},
	} {
		if reason, retryAfter := MayClose(x.connection); reason != x.reason || retryAfter != x.retryAfter {
			t.Errorf("%s: %q after %v, want %q after %v", name, reason, retryAfter, x.reason, x.retryAfter)
		}
	}
}

func TestMayContinue(t *testing.T) {
	for name, x := range map[string]struct {
		input Input
		want  error
	}{
		"one invalid":        {Input{InvalidMessages: 1}, nil},
		"at the bounds":      {Input{ValidMessages: MaxInvalidMessages, InvalidMessages: MaxInvalidMessages, SkippedBytes: MaxSkippedBytes}, nil},
		"too many invalid":   {Input{ValidMessages: MaxInvalidMessages, InvalidMessages: MaxInvalidMessages + 1}, ErrTooManyInvalid},
		"none valid":         {Input{InvalidMessages: InitialInvalidMessages + 1}, ErrTooManyInvalid},
		"bytes skipped":      {Input{ValidMessages: 1, SkippedBytes: MaxSkippedBytes + 1}, ErrNoMessages},
		"only bytes skipped": {Input{SkippedBytes: InitialSkippedBytes + 1}, ErrNoMessages},
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
		"nothing left":    {Exit{Checks: 1}, NotHeld},
		"new connection":  {Exit{PendingConnections: 1, OpenConnections: 1}, PendingConnections},
		"open connection": {Exit{OpenConnections: 1, UnansweredRequests: 1}, OpenConnections},
		"open request":    {Exit{UnansweredRequests: 1}, PendingResponses},
		"too many checks": {Exit{PendingConnections: 1, OpenConnections: 1, UnansweredRequests: 1, Checks: maxExitChecks}, NotHeld},
	} {
		reason, retryAfter := MayExit(x.exit)
		if reason != x.reason || (retryAfter > 0) != (reason != NotHeld) {
			t.Errorf("%s: %q after %v, want %q", name, reason, retryAfter, x.reason)
		}
	}
}

func TestMayRetry(t *testing.T) {
	for name, x := range map[string]struct {
		err      error
		failures int
		want     error
	}{
		"interrupted":         {syscall.EINTR, 1, nil},
		"one packet":          {os.NewSyscallError("write", syscall.EHOSTUNREACH), 1, nil},
		"at the bound":        {syscall.EIO, MaxConsecutiveFailures, nil},
		"beyond the bound":    {syscall.EIO, MaxConsecutiveFailures + 1, ErrTooManyFailures},
		"reset":               {os.NewSyscallError("read", syscall.ECONNRESET), 1, ErrConnectionEnded},
		"broken pipe":         {syscall.EPIPE, 1, ErrConnectionEnded},
		"end of input":        {io.EOF, 1, ErrConnectionEnded},
		"not a system call's": {net.ErrClosed, 1, ErrConnectionEnded},
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
		"queued":                      {Start{}, nil},
		"answered":                    {Start{Answered: true}, ErrAnswered},
		"running":                     {Start{Running: true}, ErrRunning},
		"read within the grace":       {Start{Draining: true, ReadBy: 5, GraceEnd: 5}, nil},
		"read after the grace":        {Start{Draining: true, ReadBy: 6, GraceEnd: 5}, ErrAfterGrace},
		"resumed after the grace":     {Start{Draining: true, ReadBy: 6, GraceEnd: 5, Resumed: true}, nil},
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
		"first call":              {Call{Needed: true}, nil},
		"not needed":              {Call{}, ErrCallNotNeeded},
		"in flight":               {Call{Needed: true, InFlight: true}, ErrCallInFlight},
		"may have had its effect": {Call{Needed: true, Attempted: true}, ErrMayHaveRun},
		"proven without effect":   {Call{Needed: true, Attempted: true, ProvenWithoutEffect: true}, nil},
		"idempotent":              {Call{Needed: true, Attempted: true, Idempotent: true}, nil},
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

// TestDenialError compares the texts of the denials, which stand in operators' logs.
func TestDenialError(t *testing.T) {
	for err, want := range map[error]string{
		ErrConnectionEnded: "guard: the connection has ended",
		ErrTooManyFailures: "guard: the connection fails again and again",
		ErrTooManyInvalid:  "guard: too many bad messages on the connection",
		ErrNoMessages:      "guard: what comes on the connection is no messages",
		ErrAnswered:        "guard: the request has its final answer",
		ErrRunning:         "guard: the request is running",
		ErrAfterGrace:      "guard: the request came after the grace of the drain",
		ErrKeyRan:          "guard: another try of the key ran within its window",
		ErrMayHaveRun:      "guard: the request may have had its effect",
		ErrCallInFlight:    "guard: a call of the request is out",
		ErrCallNotNeeded:   "guard: the request does not wait for a call",
	} {
		var denial *DenialError
		if err.Error() != want || !errors.As(err, &denial) {
			t.Errorf("%T with the text %q, want a *DenialError with %q", err, err, want)
		}
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
