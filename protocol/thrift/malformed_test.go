package thrift_test

import (
	"bufio"
	"errors"
	"regexp"
	"strings"
	"testing"

	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/golden"
	"quincerail.example/quincerail/protocol/thrift"
)

// arrivalField matches the arrival time of a request, which has 13 digits.
var arrivalField = regexp.MustCompile(`(door\x00\x00\x00\r)[0-9]{13}`)

// withFixedArrival replaces the arrival time of a request, so that its bytes are the same in
// every run.
func withFixedArrival(request string) string {
	return arrivalField.ReplaceAllString(request, "${1}1764576000123")
}

// TestRead_MatchesGoldenTranscript compares the results and errors for malformed and unusual
// frames with those of an earlier version.
func TestRead_MatchesGoldenTranscript(t *testing.T) {
	check := string(fakes.AppendCheck(nil, 7, true))
	interrupt := string(fakes.AppendInterrupt(nil, 3))
	execute := withFixedArrival(string(fakes.AppendExecute(nil, 3, map[string]string{"verb": "x"}, []byte("body"))))
	large := withFixedArrival(string(fakes.AppendExecute(nil, 3, nil, make([]byte, thrift.MaxRequestBody+1))))
	inputs := []string{
		"", check, check[:10], interrupt, execute[:len(execute)-1], execute, large, "\x7f\xff\xff\xff", "\x00\x00\x00\x00", "\x00\x00\x00\x02no",
		"\x00\x00\x00\x04spam", "\x00\x00\x00\x7fspam", "GET / HTTP/1.1\r\n\r\n", strings.Replace(check, "\x80\x01", "\x80\x02", 1),
		strings.Replace(check, "\x80\x01\x00\x01", "\x80\x01\x00\x02", 1), strings.Replace(check, "check", "sing!", 1), strings.Replace(check, "\x02\x00\x01\x01", "\x05\x00\x01\x01", 1),
		strings.Replace(check, "\x02\x00\x01\x01", "\x08\x00\x01\x01", 1), strings.Replace(check, "\x00\x00\x00\x16", "\x00\x00\x00\x17", 1) + "x",
		strings.Replace(execute, "\x0d\x00\x01", "\x0d\x00\x02", 1), strings.Replace(execute, "\x0b\x0b", "\x0b\x08", 1), check[:20] + check,
		"\x00\x00\x50\x00" + check[4:] + strings.Repeat("x", 20<<10-len(check)+4), "\x00\x00\x50\x00" + strings.Repeat("x", 20<<10),
		"\x00\x00\x00\x1c\x80\x01\x00\x01\x00\x00\x00\x07execute\x00\x00\x00\x01\x0d\x00\x01\x0b\x0b\x7f\xff\xff\xff",
		"\x00\x00\x00\x1c\x80\x01\x00\x01\x00\x00\x00\x07execute\x00\x00\x00\x01\x0d\x00\x01\x0b\x0b\xff\xff\xff\xff",
		"\x00\x00\x00\x60\x80\x01\x00\x01\x00\x00\x00\x01x\x00\x00\x00\x01" + strings.Repeat("\x0c\x00\x09", 30) + strings.Repeat("\x00", 200),
	}
	golden.Equal(t, "malformed", golden.Transcript(inputs, func(r *bufio.Reader) (any, error) {
		var reader thrift.Reader
		m, err := reader.Read(r)
		var bad *thrift.BadMessageError
		if errors.As(err, &bad) && bad.Header != nil {
			return nil, errors.New(bad.Header.Name + ": " + err.Error())
		}
		if err != nil {
			return nil, err
		}
		return []any{m.Name, m.Type, m.Seq, m.Fields, len(m.Body), m.Probe, m.Err}, nil
	}))
}
