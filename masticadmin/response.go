package masticadmin

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"masticladder/masticerror"
	"masticladder/masticview"
)

// ViewDocument is the JSON form of a view.
type ViewDocument struct {
	Revision    uint64                  `json:"revision"`
	Workspaces  []masticview.Workspace  `json:"workspaces"`
	Profiles    []masticview.Profile    `json:"profiles"`
	Keys        []masticview.Key        `json:"keys"`
	Hosts       []masticview.Host       `json:"hosts"`
	Servers     []masticview.Server     `json:"servers"`
	Services    []masticview.Service    `json:"services"`
	Quarantines []masticview.Quarantine `json:"quarantines"`
}

func newViewDocument(v masticview.View) ViewDocument {
	return ViewDocument{
		Revision:    v.Revision(),
		Workspaces:  v.Workspaces(),
		Profiles:    v.Profiles(),
		Keys:        v.Keys(),
		Hosts:       v.Hosts(),
		Servers:     v.Servers(),
		Services:    v.Services(),
		Quarantines: v.Quarantines(),
	}
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error: Message for people, the other fields for programs.
type ErrorDetail struct {
	Message        string           `json:"message"`
	Kind           masticerror.Kind `json:"kind"`
	NotRun         bool             `json:"notRun"`
	OutcomeUnknown bool             `json:"outcomeUnknown"`
}

func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func writeError(w http.ResponseWriter, err error) {
	e := masticerror.From(err)
	if d := e.RetryAfter(); d > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
	detail := ErrorDetail{Message: e.Message(), Kind: e.Kind(), NotRun: e.NotRun(), OutcomeUnknown: !e.NotRun()}
	writeJSON(w, e.Status(), ErrorResponse{detail})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
