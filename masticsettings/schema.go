package masticsettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

var settingsType = reflect.TypeFor[Settings]()

// schemaChecker compares the syntax tree of a settings file with the Go type, collects the problems
// and records the line of each path.
type schemaChecker struct {
	file       string
	source     []byte
	lineByPath map[string]int
	problems   Problems
}

func newSchemaChecker(file string, source []byte) *schemaChecker {
	return &schemaChecker{file: file, source: source, lineByPath: map[string]int{}}
}

func (s *schemaChecker) lineAt(offset int) int {
	offset = min(max(offset, 0), len(s.source))
	return 1 + bytes.Count(s.source[:offset], []byte{'\n'})
}

// lineOf returns the line of path or, if the file lacks it, of its nearest ancestor in the file.
func (s *schemaChecker) lineOf(path string) int {
	for path != "" {
		if line, ok := s.lineByPath[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

func (s *schemaChecker) addAtOffset(offset int, path, format string, args ...any) {
	s.problems = append(s.problems, Problem{s.file, s.lineAt(offset), path, fmt.Sprintf(format, args...)})
}

func (s *schemaChecker) check(v hujson.Value, t reflect.Type, path string) {
	s.lineByPath[path] = s.lineAt(v.StartOffset)
	switch x := v.Value.(type) {
	case *hujson.Object:
		s.checkObject(x, v.StartOffset, t, path)
	case *hujson.Array:
		s.checkArray(x, v.StartOffset, t, path)
	case hujson.Literal:
		s.checkLiteral(x, v.StartOffset, t, path)
	}
}

func (s *schemaChecker) checkObject(o *hujson.Object, offset int, t reflect.Type, path string) {
	if t.Kind() == reflect.Map {
		for _, m := range o.Members {
			s.check(m.Value, t.Elem(), path+"."+m.Name.Value.(hujson.Literal).String())
		}
		return
	}
	if t.Kind() != reflect.Struct {
		s.addAtOffset(offset, path, "is an object, must be %s", typeName(t))
		return
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		child := path + "." + name
		field, ok := fieldByName(t, name)
		switch {
		case !ok:
			s.addAtOffset(m.Name.StartOffset, child, "is not a known field")
		case seen[name]:
			s.addAtOffset(m.Name.StartOffset, child, "is given twice")
		default:
			s.check(m.Value, field.Type, child)
		}
		seen[name] = true
	}
}

func (s *schemaChecker) checkArray(a *hujson.Array, offset int, t reflect.Type, path string) {
	if t.Kind() != reflect.Slice {
		s.addAtOffset(offset, path, "is a list, must be %s", typeName(t))
		return
	}
	for i, e := range a.Elements {
		s.check(e, t.Elem(), path+"["+strconv.Itoa(i)+"]")
	}
}

func (s *schemaChecker) checkLiteral(l hujson.Literal, offset int, t reflect.Type, path string) {
	p := reflect.New(t)
	if string(l) == "null" {
		s.addAtOffset(offset, path, "is null, must be %s", typeName(t))
		return
	}
	if err := json.Unmarshal(l, p.Interface()); err != nil {
		s.addAtOffset(offset, path, "is %s, must be %s", string(l), typeName(t))
	}
}

func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a string"
	}
}

var linePattern = regexp.MustCompile(`line (\d+), column \d+: `)

func syntaxProblem(file string, source []byte, err error) Problem {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	p := Problem{File: file, Line: 1, Path: "$", Message: text}
	if m := linePattern.FindStringSubmatch(text); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = strings.Replace(text, m[0], "", 1)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		p.Line = newSchemaChecker(file, source).lineAt(int(syntax.Offset))
	}
	return p
}
