package consensus

import (
	"fmt"
	"log/slog"
)

// raftLogger implements raft.Logger. It logs the library's errors at level error
// and everything else at level debug.
type raftLogger struct{ logger *slog.Logger }

func (l raftLogger) debug(text string) { l.logger.Debug(eventRaftLibrary, "text", text) }
func (l raftLogger) error(text string) { l.logger.Error(eventRaftLibrary, "text", text) }

func (l raftLogger) Debug(v ...any)                   { l.debug(fmt.Sprint(v...)) }
func (l raftLogger) Debugf(format string, v ...any)   { l.debug(fmt.Sprintf(format, v...)) }
func (l raftLogger) Info(v ...any)                    { l.debug(fmt.Sprint(v...)) }
func (l raftLogger) Infof(format string, v ...any)    { l.debug(fmt.Sprintf(format, v...)) }
func (l raftLogger) Warning(v ...any)                 { l.debug(fmt.Sprint(v...)) }
func (l raftLogger) Warningf(format string, v ...any) { l.debug(fmt.Sprintf(format, v...)) }
func (l raftLogger) Error(v ...any)                   { l.error(fmt.Sprint(v...)) }
func (l raftLogger) Errorf(format string, v ...any)   { l.error(fmt.Sprintf(format, v...)) }

// The library calls the next four methods if its state is inconsistent. Continuing
// could produce a second vote in one term, so they panic.
func (l raftLogger) Fatal(v ...any)                 { panic("raft: " + fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(format string, v ...any) { panic("raft: " + fmt.Sprintf(format, v...)) }
func (l raftLogger) Panic(v ...any)                 { panic("raft: " + fmt.Sprint(v...)) }
func (l raftLogger) Panicf(format string, v ...any) { panic("raft: " + fmt.Sprintf(format, v...)) }
