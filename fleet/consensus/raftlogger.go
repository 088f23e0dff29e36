package consensus

import (
	"fmt"
	"log/slog"
)

// raftLogger implements raft.Logger. Only the library's errors are logged above
// the debug level.
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

// The library calls these where the log contradicts itself. To go on could mean
// a second vote in one term, so the process ends.
func (l raftLogger) Fatal(v ...any)                 { panic("raft: " + fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(format string, v ...any) { panic("raft: " + fmt.Sprintf(format, v...)) }
func (l raftLogger) Panic(v ...any)                 { panic("raft: " + fmt.Sprint(v...)) }
func (l raftLogger) Panicf(format string, v ...any) { panic("raft: " + fmt.Sprintf(format, v...)) }
