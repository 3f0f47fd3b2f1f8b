package masticview

import (
	"slices"
)

// Class is the latency class of a profile.
type Class string

// The latency classes, from the most to the least urgent.
const (
	ClassQuick Class = "quick"
	ClassLong  Class = "long"
	ClassBulk  Class = "bulk"
)

// Profile is a named set of models, services and limits for the keys of a workspace.
type Profile struct {
	Name      string   `json:"name" validate:"required"`
	Workspace string   `json:"workspace" validate:"required"`
	Models    []string `json:"models"`
	Services  []string `json:"services"`
	Class     Class    `json:"class" validate:"oneof=quick long bulk"`
	// FirstTokenMillis is the target for the time to the first token, in milliseconds.
	FirstTokenMillis int64 `json:"firstTokenMillis" validate:"gt=0"`
	// MaxOutputTokens is the maximum number of output tokens of one request.
	MaxOutputTokens int64 `json:"maxOutputTokens" validate:"gt=0"`
}

// AllowsModel reports whether the profile lists model.
func (p Profile) AllowsModel(model string) bool { return slices.Contains(p.Models, model) }

// AllowsService reports whether the profile lists service.
func (p Profile) AllowsService(service string) bool { return slices.Contains(p.Services, service) }
