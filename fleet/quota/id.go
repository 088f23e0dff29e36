package quota

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// ID identifies one incarnation of a member. A member that restarts gets a new ID,
// which holds none of the rights of the previous one. In CBOR an ID is an array, so the
// order of the fields is part of the format. In JSON it is the text of String.
type ID struct {
	_           struct{} `cbor:",toarray"`
	Member      string
	Incarnation uint64
}

// String returns the ID as "member/incarnation".
func (id ID) String() string { return id.Member + "/" + strconv.FormatUint(id.Incarnation, 10) }

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error is an
// *InvalidIDError.
func (id *ID) UnmarshalText(text []byte) error {
	s := string(text)
	slash := strings.LastIndexByte(s, '/')
	if slash < 0 {
		return &InvalidIDError{Text: s, Err: errNoIncarnation}
	}
	incarnation, err := strconv.ParseUint(s[slash+1:], 10, 64)
	if err != nil {
		return &InvalidIDError{Text: s, Err: fmt.Errorf("incarnation: %w", err)}
	}
	*id = ID{Member: s[:slash], Incarnation: incarnation}
	return nil
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Incarnation, b.Incarnation))
}
