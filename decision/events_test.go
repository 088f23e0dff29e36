package decision

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestEvent_LogLineHasNameAndAttributes(t *testing.T) {
	for want, event := range map[string]Event{
		"msg=drain_started stops_in_ms=4500": DrainStarted{StopsIn: 4500 * time.Millisecond},
		"msg=health_changed healthy=true error_rate=0.2 read_lag_seconds=1": HealthChanged{
			Healthy: true, ErrorRate: 0.2, ReadLagSeconds: 1,
		},
		"msg=circuit_breaker_changed open=true": CircuitBreakerChanged{Open: true},
	} {
		var line bytes.Buffer
		record := slog.NewRecord(time.Time{}, slog.LevelInfo, event.Name(), 0)
		record.AddAttrs(event.Attributes()...)
		if err := slog.NewTextHandler(&line, nil).Handle(context.Background(), record); err != nil {
			t.Fatal(err)
		}
		if got := strings.TrimSpace(line.String()); !strings.HasSuffix(got, want) {
			t.Errorf("log line of %T = %q, want suffix %q", event, got, want)
		}
	}
}
