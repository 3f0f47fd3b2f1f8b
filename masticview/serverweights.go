package masticview

import "slices"

// VersionOf returns the version of the weights of one of the server's models.
func (s Server) VersionOf(model string) string {
	if i := slices.Index(s.Models, model); i >= 0 && i < len(s.ModelVersions) {
		return s.ModelVersions[i]
	}
	return s.WeightsVersion
}

// WithVersions returns a copy with the given models, each with the version of its weights at the same place.
func (s Server) WithVersions(models, versions []string) Server {
	s.Models, s.WeightsVersion, s.ModelVersions = models, "", nil
	for _, v := range versions {
		if v != versions[0] {
			s.ModelVersions = versions
			return s
		}
	}
	if len(versions) > 0 {
		s.WeightsVersion = versions[0]
	}
	return s
}

// WithVersionOf returns a copy in which the weights of one of its models have another version. A server that lists other
// models stays as it is; one that lists none has the version for all.
func (s Server) WithVersionOf(model, version string) Server {
	if len(s.Models) == 0 {
		s.WeightsVersion = version
		return s
	}
	versions := make([]string, len(s.Models))
	for i, m := range s.Models {
		versions[i] = s.VersionOf(m)
		if m == model {
			versions[i] = version
		}
	}
	if !s.Serves(model) {
		return s
	}
	return s.WithVersions(s.Models, versions)
}

// WithLoading returns a copy that loads other weights of one of its models.
func (s Server) WithLoading(model string) Server {
	s.State, s.LoadingModel = ServerLoading, model
	return s
}

// Accepts reports whether the server gets new requests for a model. A server that loads the weights of another
// of its models does.
func (s Server) Accepts(model string) bool {
	switch s.State {
	case ServerActive, "":
		return true
	case ServerLoading:
		return s.LoadingModel != "" && s.LoadingModel != model
	default:
		return false
	}
}

// AcceptsAny reports whether the server gets new requests for any model.
func (s Server) AcceptsAny() bool {
	return slices.ContainsFunc(s.Models, s.Accepts) || len(s.Models) == 0 && s.Accepts("")
}
