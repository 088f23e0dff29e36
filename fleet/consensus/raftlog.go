package consensus

import (
	"fmt"
	"log/slog"
)

// raftLogger is raft's logger: its remarks are for debugging, its faults are not.
type raftLogger struct{ log *slog.Logger }

func (l raftLogger) Debug(v ...any)              { l.log.Debug("raft", "remark", fmt.Sprint(v...)) }
func (l raftLogger) Debugf(f string, v ...any)   { l.log.Debug("raft", "remark", fmt.Sprintf(f, v...)) }
func (l raftLogger) Info(v ...any)               { l.log.Debug("raft", "remark", fmt.Sprint(v...)) }
func (l raftLogger) Infof(f string, v ...any)    { l.log.Debug("raft", "remark", fmt.Sprintf(f, v...)) }
func (l raftLogger) Warning(v ...any)            { l.log.Debug("raft", "remark", fmt.Sprint(v...)) }
func (l raftLogger) Warningf(f string, v ...any) { l.log.Debug("raft", "remark", fmt.Sprintf(f, v...)) }
func (l raftLogger) Error(v ...any)              { l.log.Error("raft", "remark", fmt.Sprint(v...)) }
func (l raftLogger) Errorf(f string, v ...any)   { l.log.Error("raft", "remark", fmt.Sprintf(f, v...)) }

// Fatal, Panic and the like mean that the log contradicts itself: to go on
// would be to vote on what is not so.
func (l raftLogger) Fatal(v ...any)            { panic("raft: " + fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(f string, v ...any) { panic("raft: " + fmt.Sprintf(f, v...)) }
func (l raftLogger) Panic(v ...any)            { panic("raft: " + fmt.Sprint(v...)) }
func (l raftLogger) Panicf(f string, v ...any) { panic("raft: " + fmt.Sprintf(f, v...)) }
