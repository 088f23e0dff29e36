package consensus

import (
	"fmt"
	"log/slog"
)

// raftLog is raft's logger: its remarks are for debugging, its faults are not.
type raftLog struct{ log *slog.Logger }

func (l raftLog) Debug(v ...any)              { l.log.Debug("raft", "remark", fmt.Sprint(v...)) }
func (l raftLog) Debugf(f string, v ...any)   { l.log.Debug("raft", "remark", fmt.Sprintf(f, v...)) }
func (l raftLog) Info(v ...any)               { l.log.Debug("raft", "remark", fmt.Sprint(v...)) }
func (l raftLog) Infof(f string, v ...any)    { l.log.Debug("raft", "remark", fmt.Sprintf(f, v...)) }
func (l raftLog) Warning(v ...any)            { l.log.Debug("raft", "remark", fmt.Sprint(v...)) }
func (l raftLog) Warningf(f string, v ...any) { l.log.Debug("raft", "remark", fmt.Sprintf(f, v...)) }
func (l raftLog) Error(v ...any)              { l.log.Error("raft", "remark", fmt.Sprint(v...)) }
func (l raftLog) Errorf(f string, v ...any)   { l.log.Error("raft", "remark", fmt.Sprintf(f, v...)) }

// Fatal, Panic and the like mean that the log contradicts itself: to go on
// would be to vote on what is not so.
func (l raftLog) Fatal(v ...any)            { panic("raft: " + fmt.Sprint(v...)) }
func (l raftLog) Fatalf(f string, v ...any) { panic("raft: " + fmt.Sprintf(f, v...)) }
func (l raftLog) Panic(v ...any)            { panic("raft: " + fmt.Sprint(v...)) }
func (l raftLog) Panicf(f string, v ...any) { panic("raft: " + fmt.Sprintf(f, v...)) }
