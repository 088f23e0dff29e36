package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// memoryAtRestart kills and restarts a server that keeps its keys in a folder. The server stays
// under its memory limit, above which the platform kills it.
func memoryAtRestart(s *site) (broken []string, err error) {
	s.memoryMB = 32
	s.settings["familyInfo"].(map[string]any)["keyKb"] = 0.5
	s.work.result = func(b string) []byte { return []byte((b + strings.Repeat("r", 4096))[:4096]) }
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	flags := []string{"--keys", filepath.Join(s.temp, "keys")}
	n, err := s.start("server", listen, nil, flags...)
	if err != nil {
		return nil, err
	}
	m := n.watchMemory()
	if err := n.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	gifts := s.sendAll(fakes.Thrift, listen, gift, "gift", time.Second/228)
	time.Sleep(20 * time.Second)
	gifts.stop()
	gifts.await()
	if m.over(s, n) {
		return []string{fmt.Sprintf("%s needed %d kB of %d", n.label, m.most.Load(), s.memoryMB<<10)}, nil
	}
	if !s.trouble {
		time.Sleep(3 * time.Second)
		if m.over(s, n) {
			broken = append(broken, fmt.Sprintf("%s needed %d kB of %d", n.label, m.most.Load(), s.memoryMB<<10))
		}
		return broken, nil
	}
	n.kill()
	for i := range 3 {
		time.Sleep(comesBack)
		label := fmt.Sprintf("restart-%d", i+1)
		if n, err = s.start(label, listen, nil, flags...); err != nil {
			return nil, err
		}
		m = n.watchMemory()
		for until := time.Now().Add(time.Second); time.Now().Before(until) && m.most.Load() <= int64(s.memoryMB<<10); {
			time.Sleep(time.Millisecond)
		}
		if !m.over(s, n) {
			break // it runs
		}
		broken = append(broken, fmt.Sprintf("%s needed %d kB of %d and was killed", label, m.most.Load(), s.memoryMB<<10))
		n.kill() // by the platform, as it is over its limit
	}
	return broken, nil
}

// memory is the most memory that a process has had. Only private memory counts, not the files that
// are mapped, such as the program itself.
type memory struct{ most atomic.Int64 }

func (n *node) watchMemory() *memory {
	m := new(memory)
	go func() {
		for {
			select {
			case <-n.exited:
				return
			case <-time.After(time.Millisecond):
			}
			text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
			for line := range strings.Lines(string(text)) {
				if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
					kb, _ := strconv.ParseInt(f[1], 10, 64)
					m.most.Store(max(m.most.Load(), kb))
				}
			}
		}
	}()
	return m
}

// over reports whether the process was over its limit, and records the most.
func (m *memory) over(s *site, n *node) bool {
	s.log("%s has needed up to %d kB of %d", n.label, m.most.Load(), s.memoryMB<<10)
	return m.most.Load() > int64(s.memoryMB<<10)
}
