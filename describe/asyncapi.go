package describe

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/tidwall/gjson"
)

// AsyncAPI reads an AsyncAPI 3 document in JSON. An operation that the service
// receives and that has a class is a route: its path is its channel's address,
// its method that of its HTTP binding, POST where it has none.
func AsyncAPI(text []byte) (*Document, error) {
	if !gjson.ValidBytes(text) {
		return nil, fmt.Errorf("AsyncAPI document: not JSON")
	}
	root := gjson.ParseBytes(text)
	if v := root.Get("asyncapi").String(); !strings.HasPrefix(v, "3.") {
		return nil, fmt.Errorf("AsyncAPI document: version %q, 3 wanted", v)
	}
	d := &Document{}
	var err error
	if d.Classes, err = classes(root.Get(extClasses)); err != nil {
		return nil, err
	}
	root.Get("operations").ForEach(func(name, op gjson.Result) bool {
		class := op.Get(extClass).String()
		if class == "" || op.Get("action").String() != "receive" {
			return true
		}
		ref := op.Get("channel.$ref").String()
		id, ok := strings.CutPrefix(ref, "#/channels/")
		id = strings.NewReplacer("~1", "/", "~0", "~").Replace(id) // as a JSON pointer has it
		channel := root.Get("channels").Map()[id]
		if !ok || !channel.Exists() {
			err = fmt.Errorf("AsyncAPI document: operations.%s: channel %q is not there", name, ref)
			return false
		}
		d.Routes = append(d.Routes, Route{
			Method:    strings.ToUpper(cmp.Or(op.Get("bindings.http.method").String(), "POST")),
			Path:      channel.Get("address").String(),
			Class:     class,
			KeyHeader: cmp.Or(op.Get(extKey).String(), DefaultKeyHeader),
			Rule:      op.Get(extRule).String(),
		})
		return true
	})
	if err != nil {
		return nil, err
	}
	return d.check()
}
