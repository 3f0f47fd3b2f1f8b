package masticjson

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf16"
	"unicode/utf8"
)

// The functions in this file scan JSON that json.Valid has accepted, without copying it. On
// invalid JSON they terminate, but their results are meaningless.

// skipString returns the index after the string that begins at b[i].
func skipString(b []byte, i int) int {
	for i++; i < len(b); {
		n := bytes.IndexByte(b[i:], '"')
		if n < 0 {
			return len(b)
		}
		i += n + 1
		if !isEscaped(b, i-1) {
			return i
		}
	}
	return len(b)
}

// isEscaped reports whether an odd number of backslashes precedes b[i].
func isEscaped(b []byte, i int) bool {
	n := 0
	for n < i && b[i-1-n] == '\\' {
		n++
	}
	return n%2 == 1
}

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\t' || b[i] == '\n' || b[i] == '\r') {
		i++
	}
	return i
}

// skipValue returns the index after the value that begins at b[i].
func skipValue(b []byte, i int) int {
	depth := 0
	for i < len(b) {
		switch b[i] {
		case '"':
			i = skipString(b, i)
			if depth == 0 {
				return i
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1
			}
			if depth < 0 {
				return i
			}
		case ',', ' ', '\t', '\n', '\r':
			if depth == 0 {
				return i
			}
		}
		i++
	}
	return i
}

// Members returns the members of an object. The last of several members with the same name is
// used. It returns false if object does not begin as a JSON object.
func Members(object []byte) (Object, bool) {
	i := skipSpace(object, 0)
	if i >= len(object) || object[i] != '{' {
		return nil, false
	}
	o := make(Object)
	for i = skipSpace(object, i+1); i < len(object) && object[i] == '"'; {
		end := skipString(object, i)
		name := unquote(object[i:end])
		i = skipSpace(object, skipSpace(object, end)+1)
		end = skipValue(object, i)
		o[name] = object[i:end:end]
		i = skipSpace(object, skipSpace(object, end)+1)
	}
	return o, true
}

// Elements returns the elements of an array. It returns false if array does not begin as a JSON
// array.
func Elements(array []byte) ([]json.RawMessage, bool) {
	i := skipSpace(array, 0)
	if i >= len(array) || array[i] != '[' {
		return nil, false
	}
	var list []json.RawMessage
	for i = skipSpace(array, i+1); i < len(array) && array[i] != ']'; {
		end := skipValue(array, i)
		list = append(list, array[i:end:end])
		i = skipSpace(array, skipSpace(array, end)+1)
	}
	return list, true
}

// unquote returns the text of a JSON string.
func unquote(raw []byte) string {
	inner := raw[1 : len(raw)-1]
	if !utf8.Valid(inner) {
		var s string
		_ = json.Unmarshal(raw, &s)
		return s
	}
	if bytes.IndexByte(inner, '\\') < 0 {
		return string(inner)
	}
	var b strings.Builder
	b.Grow(len(inner))
	for len(inner) > 0 {
		n := bytes.IndexByte(inner, '\\')
		if n < 0 {
			b.Write(inner)
			break
		}
		b.Write(inner[:n])
		inner = inner[n+unescape(&b, inner[n:]):]
	}
	return b.String()
}

// unescape decodes the escape sequence at the start of s, appends the character to b and returns
// the length of the sequence in bytes.
func unescape(b *strings.Builder, s []byte) int {
	const short, long = 2, 6
	if s[1] != 'u' {
		b.WriteByte(escapes[s[1]])
		return short
	}
	r := hexRune(s)
	if !utf16.IsSurrogate(r) {
		b.WriteRune(r)
		return long
	}
	if len(s) >= 2*long && s[long] == '\\' && s[long+1] == 'u' {
		if pair := utf16.DecodeRune(r, hexRune(s[long:])); pair != utf8.RuneError {
			b.WriteRune(pair)
			return 2 * long
		}
	}
	b.WriteRune(utf8.RuneError)
	return long
}

// escapes maps the letter of a two-byte escape sequence to its character.
var escapes = [256]byte{
	'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t',
}

// hexRune returns the code unit of an escape sequence of the form \uXXXX.
func hexRune(s []byte) rune {
	n, _ := strconv.ParseUint(string(s[2:6]), 16, 16)
	return rune(n)
}
