package processor

import (
	"bufio"
	"strings"
	"testing"
)

// BenchmarkRead measures reading the two most frequent notices: RunCompleted and GaugesRead.
func BenchmarkRead(b *testing.B) {
	const notices = "complete 4 9b1f03aa5c7e2d41 good 12 6\r\nresult\r\n" + "used 9 0.25 3 0.5 12\r\n"
	text := strings.NewReader("")
	r := bufio.NewReaderSize(text, 16<<10)
	b.ReportAllocs()
	for b.Loop() {
		text.Reset(notices)
		r.Reset(text)
		for range 2 {
			if _, err := Read(r); err != nil {
				b.Fatal(err)
			}
		}
	}
}
