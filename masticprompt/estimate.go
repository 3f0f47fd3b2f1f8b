package masticprompt

import "unicode/utf8"

const (
	// asciiBytesPerToken is the usual average length of a token in plain text.
	asciiBytesPerToken = 4
	// pieceBytes is the length of a full piece of ASCII text.
	pieceBytes = PieceTokens * asciiBytesPerToken
)

// EstimateTokens returns an estimate of the number of tokens in text: one per four ASCII
// bytes, rounded up, and one per non-ASCII character.
func EstimateTokens(text string) int64 {
	ascii, other := 0, 0
	for i := 0; i < len(text); i++ {
		switch b := text[i]; {
		case b < utf8.RuneSelf:
			ascii++
		case utf8.RuneStart(b):
			other++
		}
	}
	return int64((ascii+asciiBytesPerToken-1)/asciiBytesPerToken + other)
}

// pieceEnd returns the end offset of the piece that begins at start. It never splits a
// UTF-8 character.
func pieceEnd(text string, start int) int {
	end := start + pieceBytes
	if end >= len(text) {
		return len(text)
	}
	for end > start && !utf8.RuneStart(text[end]) {
		end--
	}
	return end
}
