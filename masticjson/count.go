package masticjson

// Count returns the number of objects of b, and of commas, which bounds that of its values. b need not be valid JSON.
func Count(b []byte) (objects, values int) {
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			i = skipString(b, i) - 1
		case '{':
			objects++
		case ',':
			values++
		}
	}
	return objects, values
}
