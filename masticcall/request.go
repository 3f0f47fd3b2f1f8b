// Package masticcall holds the interfaces and value types that a call passes through.
package masticcall

import (
	"time"

	"masticladder/masticview"
)

// Request is what the dispatcher needs to know of one request.
type Request struct {
	ID        string
	Workspace string
	Weight    int64
	Model     string
	Class     masticview.Class
	// Weights is the model under which versions of the weights are named; empty where the
	// request may run on any version.
	Weights string
	// Levels are the prompt's parts, outermost first.
	Levels       []Level
	PromptTokens int64
	OutputTokens int64
	Digest       masticview.Digest
	// FirstTokenBy is the deadline of the first token, Deadline that of the whole answer.
	FirstTokenBy time.Time
	Deadline     time.Time
	// UsableBy is until when the request waits while no backend server is usable; zero is
	// the deadline of the first token.
	UsableBy time.Time
	// Avoid names backend servers that this request already failed on.
	Avoid []string
	// Attempt counts from zero.
	Attempt int
}

// Level is one part of a nested prompt.
type Level struct {
	Role string
	Text string
	// Tokens is the length of the level where it is known; the level is then one piece. Zero
	// has it estimated from Text.
	Tokens int64
}
