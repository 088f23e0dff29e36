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
		connection ConnectionState
		reason     HoldReason
		retryAfter time.Duration
	}{
		"socket not drained":                       {ConnectionState{ProcessExiting: true}, SocketNotDrained, 0},
		"idle":                                     {ConnectionState{SocketDrained: true}, NotHeld, 0},
		"response pending":                         {ConnectionState{SocketDrained: true, ResponsesPending: true}, PendingResponses, recheckInterval},
		"notice period":                            {ConnectionState{SocketDrained: true, NoticeRemaining: time.Second}, NoticePeriod, time.Second},
		"partial message":                          {ConnectionState{SocketDrained: true, MessagePartial: true, IdleFor: 1, StallTimeout: 3}, PartialMessage, 2},
		"partial message stalled":                  {ConnectionState{SocketDrained: true, MessagePartial: true, IdleFor: 3, StallTimeout: 3}, NotHeld, 0},
		"partial message too old":                  {ConnectionState{SocketDrained: true, MessagePartial: true, StallTimeout: 3, MessageAge: MaxMessageTime}, NotHeld, 0},
		"process exits, response pending":          {ConnectionState{SocketDrained: true, ProcessExiting: true, ResponsesPending: true}, NotHeld, 0},
		"partial message stalled in notice period": {ConnectionState{SocketDrained: true, MessagePartial: true, NoticeRemaining: time.Second}, NotHeld, 0},
	} {
		if reason, retryAfter := MayClose(x.connection); reason != x.reason || retryAfter != x.retryAfter {
			t.Errorf("%s: MayClose = %q, %v, want %q, %v", name, reason, retryAfter, x.reason, x.retryAfter)
		}
	}
}

func TestMayContinue(t *testing.T) {
	for name, x := range map[string]struct {
		input InputState
		want  error
	}{
		"one invalid message":                      {InputState{InvalidMessages: 1}, nil},
		"all counts at the bounds":                 {InputState{ValidMessages: MaxInvalidMessages, InvalidMessages: MaxInvalidMessages, SkippedBytes: MaxSkippedBytes}, nil},
		"too many invalid messages":                {InputState{ValidMessages: MaxInvalidMessages, InvalidMessages: MaxInvalidMessages + 1}, ErrTooManyInvalid},
		"no valid message":                         {InputState{InvalidMessages: InitialInvalidMessages + 1}, ErrTooManyInvalid},
		"too many bytes skipped":                   {InputState{ValidMessages: 1, SkippedBytes: MaxSkippedBytes + 1}, ErrTooManySkipped},
		"too many bytes skipped, no valid message": {InputState{SkippedBytes: InitialSkippedBytes + 1}, ErrTooManySkipped},
	} {
		if err := MayContinue(x.input); !errors.Is(err, x.want) {
			t.Errorf("%s: MayContinue = %v, want %v", name, err, x.want)
		}
	}
}

func TestMayExit(t *testing.T) {
	for name, x := range map[string]struct {
		exit   ExitState
		reason HoldReason
	}{
		"nothing left":          {ExitState{Checks: 1}, NotHeld},
		"unaccepted connection": {ExitState{PendingConnections: 1, OpenConnections: 1}, PendingConnections},
		"open connection":       {ExitState{OpenConnections: 1, UnansweredRequests: 1}, OpenConnections},
		"unanswered request":    {ExitState{UnansweredRequests: 1}, PendingResponses},
		"too many checks":       {ExitState{PendingConnections: 1, OpenConnections: 1, UnansweredRequests: 1, Checks: maxExitChecks}, NotHeld},
	} {
		reason, retryAfter := MayExit(x.exit)
		if reason != x.reason || (retryAfter > 0) != (reason != NotHeld) {
			t.Errorf("%s: MayExit = %q, %v, want %q, and a retry time only with a reason", name, reason, retryAfter, x.reason)
		}
	}
}

func TestMayRetry(t *testing.T) {
	for name, x := range map[string]struct {
		err      error
		failures int
		want     error
	}{
		"interrupted":                  {syscall.EINTR, 1, nil},
		"host unreachable":             {os.NewSyscallError("write", syscall.EHOSTUNREACH), 1, nil},
		"I/O error, last retry":        {syscall.EIO, MaxConsecutiveFailures, nil},
		"I/O error, too many failures": {syscall.EIO, MaxConsecutiveFailures + 1, ErrTooManyFailures},
		"connection reset":             {os.NewSyscallError("read", syscall.ECONNRESET), 1, ErrConnectionEnded},
		"broken pipe":                  {syscall.EPIPE, 1, ErrConnectionEnded},
		"end of file":                  {io.EOF, 1, ErrConnectionEnded},
		"not a system call error":      {net.ErrClosed, 1, ErrConnectionEnded},
	} {
		if err := MayRetry(x.err, x.failures); !errors.Is(err, x.want) {
			t.Errorf("%s: MayRetry = %v, want %v", name, err, x.want)
		}
	}
}

func TestMayStart(t *testing.T) {
	for name, x := range map[string]struct {
		start StartState
		want  error
	}{
		"queued":                               {StartState{}, nil},
		"answered":                             {StartState{Answered: true}, ErrAnswered},
		"running":                              {StartState{Running: true}, ErrRunning},
		"read at the grace period's end":       {StartState{Draining: true, LatestReadTime: 5, GraceEnd: 5}, nil},
		"read after the grace period":          {StartState{Draining: true, LatestReadTime: 6, GraceEnd: 5}, ErrAfterGrace},
		"resumed after the grace period":       {StartState{Draining: true, LatestReadTime: 6, GraceEnd: 5, Resumed: true}, nil},
		"key ran in its window":                {StartState{KeyRan: true}, ErrKeyRan},
		"read after the grace period, key ran": {StartState{Draining: true, LatestReadTime: 6, GraceEnd: 5, KeyRan: true}, ErrKeyRan},
	} {
		if err := MayStart(x.start); !errors.Is(err, x.want) {
			t.Errorf("%s: MayStart = %v, want %v", name, err, x.want)
		}
	}
}

func TestMayCall(t *testing.T) {
	for name, x := range map[string]struct {
		call CallState
		want error
	}{
		"first call":                        {CallState{Needed: true}, nil},
		"not needed":                        {CallState{}, ErrCallNotNeeded},
		"in flight":                         {CallState{Needed: true, InFlight: true}, ErrCallInFlight},
		"repeated, may have had its effect": {CallState{Needed: true, Attempted: true}, ErrMayHaveRun},
		"repeated, proven without effect":   {CallState{Needed: true, Attempted: true, ProvenWithoutEffect: true}, nil},
		"repeated, idempotent":              {CallState{Needed: true, Attempted: true, Idempotent: true}, nil},
	} {
		if err := MayCall(x.call); !errors.Is(err, x.want) {
			t.Errorf("%s: MayCall = %v, want %v", name, err, x.want)
		}
	}
}

func TestMayShedAndAnswer(t *testing.T) {
	if err := MayShed(ShedState{MayHaveRun: true}); !errors.Is(err, ErrMayHaveRun) {
		t.Errorf("MayShed(may have run) = %v, want %v", err, ErrMayHaveRun)
	}
	if err := MayShed(ShedState{MayHaveRun: true, Idempotent: true}); err != nil {
		t.Errorf("MayShed(may have run, idempotent) = %v, want nil", err)
	}
	if err := MayAnswer(true); !errors.Is(err, ErrAnswered) {
		t.Errorf("MayAnswer(answered) = %v, want %v", err, ErrAnswered)
	}
	if err := MayAnswer(false); err != nil {
		t.Errorf("MayAnswer(not answered) = %v, want nil", err)
	}
}

// TestDenialError_Texts pins the texts of the denials, which operators see in logs.
func TestDenialError_Texts(t *testing.T) {
	for err, want := range map[error]string{
		ErrConnectionEnded: "guard: the connection has ended",
		ErrTooManyFailures: "guard: too many consecutive reads or writes of the connection failed",
		ErrTooManyInvalid:  "guard: too many invalid messages on the connection",
		ErrTooManySkipped:  "guard: too many consecutive bytes on the connection without a message",
		ErrAnswered:        "guard: the request is already answered",
		ErrRunning:         "guard: the request is already running",
		ErrAfterGrace:      "guard: the request was read after the grace period of the drain",
		ErrKeyRan:          "guard: another attempt of the idempotency key ran within its window",
		ErrMayHaveRun:      "guard: the request or call may already have had its effect",
		ErrCallInFlight:    "guard: a downstream call of the request is in flight",
		ErrCallNotNeeded:   "guard: the request is not waiting for a downstream call",
	} {
		var denial *DenialError
		if err.Error() != want || !errors.As(err, &denial) {
			t.Errorf("denial is a %T with the text %q, want a *DenialError with the text %q", err, err, want)
		}
	}
}

func TestMonitor_CountsByRule(t *testing.T) {
	m := NewMonitor(slog.New(slog.DiscardHandler))
	m.RecordViolation(LostRequest, "request", "a")
	m.RecordDenial(DrainStart, ErrAfterGrace, "b")
	m.RecordDenial(DrainStart, ErrAfterGrace, "c")
	for _, rule := range Rules {
		wantViolations, wantDenials := int64(0), int64(0)
		switch rule {
		case LostRequest:
			wantViolations = 1
		case DrainStart:
			wantDenials = 2
		}
		if m.Violations(rule) != wantViolations || m.Denials(rule) != wantDenials {
			t.Errorf("%s: %d violations and %d denials, want %d and %d", rule, m.Violations(rule), m.Denials(rule), wantViolations, wantDenials)
		}
	}
	var nilMonitor *Monitor
	nilMonitor.RecordViolation(LostRequest)
	nilMonitor.RecordDenial(LostRequest, ErrAnswered, "")
	if nilMonitor.Violations(LostRequest) != 0 || nilMonitor.Denials(LostRequest) != 0 {
		t.Error("a nil monitor counts violations or denials, want none")
	}
}
