// Package masticcrowd holds untrusted clients for tests of listeners: many connections that send parts of requests, all
// within the stated limits of one request, and stay open.
package masticcrowd

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
)

// Numbers of connections and sizes of what each sends. Tests of the product depend on them: they are not to be changed
// together with the product.
const (
	// headBytes is below the 16 KiB that documents permit for a header.
	headBytes       = 15_800
	headConnections = 400
	idleConnections = 1_500
	bodyConnections = 60
	bodyBytes       = 3 << 20
	jsonConnections = 40
	jsonBytes       = 2 << 20
	chunks          = 20_000
	// trailerBytes fits into the read buffer of net/http, which takes no longer trailer.
	trailerBytes = 4_000
	// frameBytes is sent of a frame that states stalledFrameBytes, on each of frameStreams streams of a connection.
	frameBytes        = 192 << 10
	stalledFrameBytes = 4 << 20
	frameStreams      = 12
	frameConnections  = 60
)

// Target is what requests of a crowd name: a method and path that the listener serves, and the path of its operators'
// call with a JSON body, empty if it has none.
type Target struct {
	Method, Path string
	JSONMethod   string
	JSONPath     string
	// JSONItem is repeated within JSONHead and JSONTail.
	JSONHead, JSONItem, JSONTail string
}

// Form is one form of load: Connections connections that each send Sent and then nothing.
type Form struct {
	Name        string
	Connections int
	Sent        []byte
	// Session reports that each connection speaks the protocol of hosts, with Sent on each of frameStreams streams.
	Session bool
}

// HTTPForms returns the forms for a listener of HTTP requests.
func HTTPForms(t Target) []Form {
	start := t.Method + " " + t.Path + " HTTP/1.1\r\nHost: desk.example\r\n"
	withheld := "Content-Length: 1000\r\n"
	chunked := start + "Transfer-Encoding: chunked\r\n"
	head := func(line func(i int) string) []byte {
		return []byte(fill(start+withheld, headBytes, line) + "\r\n")
	}
	forms := []Form{
		{Name: "unique names", Sent: head(func(i int) string { return "X" + base36(i) + ":1\r\n" })},
		{Name: "one name repeated", Sent: head(func(int) string { return "x:1\r\n" })},
		{Name: "empty values", Sent: head(func(i int) string { return base36(i) + ":\r\n" })},
		{Name: "odd names and line ends", Sent: head(func(i int) string { return "!#$" + base36(i) + ": \t\xff\n" })},
		{Name: "continued lines", Sent: head(func(i int) string { return base36(i) + ":\r\n \t,\r\n" })},
		{Name: "unfinished header", Sent: []byte(fill(start, headBytes, func(i int) string { return base36(i) + ":\r\n" }))},
		{Name: "declared trailers", Sent: []byte(fill(chunked+"Trailer: t", headBytes, func(i int) string { return "," + base36(i) }) + "\r\n\r\n")},
		{Name: "many URI parameters", Sent: []byte(fill(t.Method+" "+t.Path+"?a", headBytes, func(i int) string { return "&" + base36(i) }) +
			" HTTP/1.1\r\nHost: desk.example\r\n" + withheld + "\r\n")},
		{Name: "trailers", Sent: []byte(fill(chunked+"\r\n1\r\na\r\n0\r\n", trailerBytes, func(i int) string { return base36(i) + ":\r\n" }))},
		{Name: "small chunks", Sent: []byte(chunked + "\r\n" + strings.Repeat("1\r\na\r\n", chunks))},
	}
	for i := range forms {
		forms[i].Connections = headConnections
	}
	forms = append(forms,
		Form{Name: "half-sent bodies", Connections: bodyConnections, Sent: append(
			[]byte(start+"Content-Length: "+strconv.Itoa(bodyBytes+1)+"\r\n\r\n"), bytes.Repeat([]byte("[{},1"), bodyBytes/5)...)},
		Form{Name: "half-sent bodies in chunks", Connections: bodyConnections, Sent: append(
			[]byte(fmt.Sprintf("%s\r\n%x\r\n", chunked, bodyBytes+1)), bytes.Repeat([]byte("[{},1"), bodyBytes/5)...)},
		Idle(),
	)
	if t.JSONPath != "" {
		forms = append(forms, jsonForm(t))
	}
	return forms
}

// Idle returns the form that sends nothing.
func Idle() Form { return Form{Name: "idle connections", Connections: idleConnections} }

// PeerForms returns the forms for a listener of other hosts.
func PeerForms() []Form {
	return []Form{
		{Name: "HTTP requests", Connections: headConnections, Sent: []byte("GET / HTTP/1.1\r\n\r\n")},
		{Name: "half-sent frames", Connections: frameConnections, Session: true, Sent: append(
			protowire.AppendVarint(nil, stalledFrameBytes), make([]byte, frameBytes)...)},
		Idle(),
	}
}

// jsonForm returns complete calls whose JSON has many members.
func jsonForm(t Target) Form {
	body := t.JSONHead + strings.TrimSuffix(strings.Repeat(t.JSONItem+",", jsonBytes/(1+len(t.JSONItem))), ",") + t.JSONTail
	return Form{Name: "JSON with many members", Connections: jsonConnections, Sent: []byte(fmt.Sprintf(
		"%s %s HTTP/1.1\r\nHost: desk.example\r\nMastic-Request-Id: r\r\nContent-Length: %d\r\n\r\n%s", t.JSONMethod, t.JSONPath, len(body), body))}
}

// fill appends lines to s up to size bytes.
func fill(s string, size int, line func(i int) string) string {
	var b strings.Builder
	b.WriteString(s)
	for i := 0; ; i++ {
		l := line(i)
		if b.Len()+len(l) > size {
			return b.String()
		}
		b.WriteString(l)
	}
}

func base36(i int) string { return strconv.FormatInt(int64(i), 36) }
