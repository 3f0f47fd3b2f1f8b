package masticprompt

import "unicode/utf8"

const (
	// asciiBytesPerToken is the customary length of a token in plain text.
	asciiBytesPerToken = 4
	// pieceBytes is the length of a piece of plain text.
	pieceBytes = PieceTokens * asciiBytesPerToken
)

// EstimateTokens estimates the number of tokens of text: one for four ASCII bytes
// and one for each other character.
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

// pieceEnd returns where the piece that begins at start ends.
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
