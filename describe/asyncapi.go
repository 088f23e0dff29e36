package describe

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/tidwall/gjson"
)

// channelPrefix begins the references to a document's channels.
const channelPrefix = "#/channels/"

// jsonPointer decodes the escapes of a JSON pointer (RFC 6901).
var jsonPointer = strings.NewReplacer("~1", "/", "~0", "~")

// AsyncAPI reads an AsyncAPI 3 document in JSON. An operation that the service receives and
// that has a class is a route: its path is its channel's address, its method that of its
// HTTP binding, or POST if it has none.
func AsyncAPI(text []byte) (*Document, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("AsyncAPI document: not JSON")
	}
	root := gjson.ParseBytes(text)
	if version := root.Get("asyncapi").String(); !strings.HasPrefix(version, "3.") {
		return nil, fmt.Errorf("AsyncAPI document: version %q, 3 wanted", version)
	}
	classes, err := decodeClasses(root.Get(extClasses))
	if err != nil {
		return nil, err
	}
	d := &Document{Classes: classes}
	if d.Routes, err = decodeOperations(root); err != nil {
		return nil, err
	}
	if err := d.validate(); err != nil {
		return nil, err
	}
	return d, nil
}

// decodeOperations reads the routes of an AsyncAPI document.
func decodeOperations(root gjson.Result) (routes Routes, err error) {
	channels := root.Get("channels").Map()
	root.Get("operations").ForEach(func(name, operation gjson.Result) bool {
		class := operation.Get(extClass).String()
		if class == "" || operation.Get("action").String() != "receive" {
			return true
		}
		reference := operation.Get("channel.$ref").String()
		id, ok := strings.CutPrefix(reference, channelPrefix)
		channel := channels[jsonPointer.Replace(id)]
		if !ok || !channel.Exists() {
			err = fmt.Errorf("AsyncAPI document: operations.%s: channel %q is not there", name, reference)
			return false
		}
		routes = append(routes, Route{
			Method:    strings.ToUpper(cmp.Or(operation.Get("bindings.http.method").String(), http.MethodPost)),
			Path:      channel.Get("address").String(),
			Class:     class,
			KeyHeader: cmp.Or(operation.Get(extKey).String(), DefaultKeyHeader),
			Rule:      operation.Get(extRule).String(),
		})
		return true
	})
	return routes, err
}
