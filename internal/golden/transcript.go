package golden

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
)

// readBufferSize is the size of a connection's read buffer in bytes. It limits how far a codec
// can peek.
const readBufferSize = 16 << 10

// maxShown is the maximum number of an input's bytes that a transcript shows.
const maxShown = 80

// Transcript describes how a codec decodes inputs, for comparison with a golden file. It calls
// read once for each input. An entry has the start of the input, the result or the error of
// read, and the number of bytes that read left unread.
func Transcript(inputs []string, read func(r *bufio.Reader) (result any, err error)) []byte {
	var b bytes.Buffer
	for _, input := range inputs {
		text := strings.NewReader(input)
		r := bufio.NewReaderSize(text, readBufferSize)
		result, err := read(r)
		outcome := fmt.Sprint("error: ", err)
		if err == nil {
			outcome = fmt.Sprintf("read: %v", result)
		}
		shown, more := input, ""
		if len(shown) > maxShown {
			shown, more = shown[:maxShown], fmt.Sprintf(" and %d bytes", len(input)-maxShown)
		}
		fmt.Fprintf(&b, "%q%s\n\t%s\n\tleft: %d\n", shown, more, outcome, r.Buffered()+text.Len())
	}
	return b.Bytes()
}
