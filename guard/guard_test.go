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

func TestMayEnd(t *testing.T) {
	for name, x := range map[string]struct {
		connection Connection
		reason     KeptFor
		again      time.Duration
	}{
		"not looked at":               {Connection{Last: true}, Unexamined, 0},
		"rests":                       {Connection{Examined: true}, Nothing, 0},
		"owes":                        {Connection{Examined: true, Owed: true}, OwedAnswers, lookAgain},
		"peer was told just now":      {Connection{Examined: true, NoticeLeft: time.Second}, NoticePeriod, time.Second},
		"message goes on":             {Connection{Examined: true, Partial: true, SilentFor: 1, Stalled: 3}, PartialMessage, 2},
		"message stands still":        {Connection{Examined: true, Partial: true, SilentFor: 3, Stalled: 3}, Nothing, 0},
		"message takes for ever":      {Connection{Examined: true, Partial: true, Stalled: 3, PartialFor: MaxMessage}, Nothing, 0},
		"process ends, answers owed":  {Connection{Examined: true, Last: true, Owed: true}, Nothing, 0},
		"message stands, within note": {Connection{Examined: true, Partial: true, NoticeLeft: time.Second}, Nothing, 0},
	} {
		if reason, again := MayEnd(x.connection); reason != x.reason || again != x.again {
			t.Errorf("%s: %q after %v, want %q after %v", name, reason, again, x.reason, x.again)
		}
	}
}

func TestMayGoOn(t *testing.T) {
	for name, x := range map[string]struct {
		input Input
		want  error
	}{
		"one bad message":   {Input{BadMessages: 1}, nil},
		"as many as may be": {Input{GoodMessages: MaxBadMessages, BadMessages: MaxBadMessages, Dropped: MaxDropped}, nil},
		"too many":          {Input{GoodMessages: MaxBadMessages, BadMessages: MaxBadMessages + 1}, ErrTooManyBad},
		"nothing else":      {Input{BadMessages: FirstBadMessages + 1}, ErrTooManyBad},
		"no more messages":  {Input{GoodMessages: 1, Dropped: MaxDropped + 1}, ErrNoMessages},
		"no messages":       {Input{Dropped: FirstDropped + 1}, ErrNoMessages},
	} {
		if err := MayGoOn(x.input); !errors.Is(err, x.want) {
			t.Errorf("%s: %v, want %v", name, err, x.want)
		}
	}
}

func TestMayExit(t *testing.T) {
	for name, x := range map[string]struct {
		exit   Exit
		reason KeptFor
	}{
		"all is answered":  {Exit{Looks: 1}, Nothing},
		"someone connects": {Exit{Connecting: 1, Open: 1}, ConnectionsWait},
		"unread":           {Exit{Open: 1, Unanswered: 1}, OpenConnections},
		"unanswered":       {Exit{Unanswered: 1}, OwedAnswers},
		"for ever":         {Exit{Connecting: 1, Open: 1, Unanswered: 1, Looks: maxExitLooks}, Nothing},
	} {
		reason, again := MayExit(x.exit)
		if reason != x.reason || (again > 0) != (reason != Nothing) {
			t.Errorf("%s: %q after %v, want %q", name, reason, again, x.reason)
		}
	}
}

func TestMayTryAgain(t *testing.T) {
	for name, x := range map[string]struct {
		err      error
		failures int
		want     error
	}{
		"interrupted":          {syscall.EINTR, 1, nil},
		"of a packet":          {os.NewSyscallError("write", syscall.EHOSTUNREACH), 1, nil},
		"not known":            {syscall.EIO, MaxFailures, nil},
		"again and again":      {syscall.EIO, MaxFailures + 1, ErrKeepFailing},
		"reset":                {os.NewSyscallError("read", syscall.ECONNRESET), 1, ErrEnded},
		"no longer there":      {syscall.EPIPE, 1, ErrEnded},
		"the end":              {io.EOF, 1, ErrEnded},
		"no system call's own": {net.ErrClosed, 1, ErrEnded},
	} {
		if err := MayTryAgain(x.err, x.failures); !errors.Is(err, x.want) {
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
		"first":                     {Call{Waiting: true}, nil},
		"nobody waits":              {Call{}, ErrNoCall},
		"out":                       {Call{Waiting: true, Out: true}, ErrCallOut},
		"again, with an effect":     {Call{Waiting: true, Made: true}, ErrMayHaveRun},
		"again, as it was not seen": {Call{Waiting: true, Made: true, Unseen: true}, nil},
		"again, without an effect":  {Call{Waiting: true, Made: true, Repeatable: true}, nil},
	} {
		if err := MayCall(x.call); !errors.Is(err, x.want) {
			t.Errorf("%s: %v, want %v", name, err, x.want)
		}
	}
}

func TestMayShedAndAnswer(t *testing.T) {
	if err := MayShed(Shed{Ran: true}); !errors.Is(err, ErrMayHaveRun) {
		t.Errorf("after a run: %v", err)
	}
	if err := MayShed(Shed{Ran: true, Repeatable: true}); err != nil {
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
