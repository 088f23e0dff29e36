package golden

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
)

// readBufferSize is that of a connection, which bounds what a codec can peek at.
const readBufferSize = 16 << 10

// maxShown bounds how much of an input a transcript shows.
const maxShown = 80

// Transcript describes what a codec makes of inputs, for a comparison with a golden file: a
// line for each, with its beginning, the result of read and how many bytes were left. read
// is called once for each input.
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
