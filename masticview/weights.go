package masticview

import (
	"time"

	"masticladder/masticproto"
)

// Weights is the newest version of a model's weights that an operator named.
type Weights struct {
	Model   string
	Version int64
	// NamedAt is the time at which the version was committed.
	NamedAt time.Time
}

// ToProto returns the wire form.
func (w Weights) ToProto() *masticproto.Weights {
	return &masticproto.Weights{Model: w.Model, Version: w.Version, NamedUnixMs: w.NamedAt.UnixMilli()}
}

// WeightsFromProto returns the version that p describes.
func WeightsFromProto(p *masticproto.Weights) Weights {
	return Weights{Model: p.GetModel(), Version: p.GetVersion(), NamedAt: time.UnixMilli(p.GetNamedUnixMs())}
}
