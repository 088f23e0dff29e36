package describe

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/tidwall/gjson"
)

// channelPrefix is the prefix of a reference to a channel of the same document.
const channelPrefix = "#/channels/"

// jsonPointerUnescaper decodes the escape sequences of a JSON pointer (RFC 6901).
var jsonPointerUnescaper = strings.NewReplacer("~1", "/", "~0", "~")

// ParseAsyncAPI reads an AsyncAPI 3 document in JSON. Each operation with a class and the
// action receive becomes a route. The route's path is the address of the operation's channel.
// Its method is that of the operation's HTTP binding, or POST if there is none.
func ParseAsyncAPI(text []byte) (*Document, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("AsyncAPI document: not valid JSON")
	}
	root := gjson.ParseBytes(text)
	if version := root.Get("asyncapi").String(); !strings.HasPrefix(version, "3.") {
		return nil, fmt.Errorf("AsyncAPI document: version %q is not supported, want 3.x", version)
	}
	classes, err := decodeClasses(root.Get(extClasses))
	if err != nil {
		return nil, err
	}
	d := &Document{Classes: classes}
	if d.Routes, err = decodeAsyncAPIRoutes(root); err != nil {
		return nil, err
	}
	if err := d.validate(); err != nil {
		return nil, err
	}
	return d, nil
}

// decodeAsyncAPIRoutes reads the routes of an AsyncAPI document, in the document's order.
func decodeAsyncAPIRoutes(root gjson.Result) (routes Routes, err error) {
	channels := root.Get("channels").Map()
	root.Get("operations").ForEach(func(name, operation gjson.Result) bool {
		class := operation.Get(extClass).String()
		if class == "" || operation.Get("action").String() != "receive" {
			return true
		}
		reference := operation.Get("channel.$ref").String()
		id, ok := strings.CutPrefix(reference, channelPrefix)
		channel := channels[jsonPointerUnescaper.Replace(id)]
		if !ok || !channel.Exists() {
			err = fmt.Errorf("AsyncAPI document: operations.%s: channel %q does not exist", name, reference)
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
