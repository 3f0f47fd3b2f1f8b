package masticgate

import (
	"encoding/json"
	"net/http"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// AddressAnswer is the JSON response to GET /v1/addresses.
type AddressAnswer struct {
	Addresses  []masticcall.Address `json:"addresses"`
	ValidUntil time.Time            `json:"validUntil"`
}

// healthAnswer is the JSON response to GET /healthz.
type healthAnswer struct {
	Host     string `json:"host"`
	State    string `json:"state"`
	Leased   bool   `json:"leased"`
	Revision uint64 `json:"revision"`
	Running  int    `json:"running"`
}

// modelList is the JSON response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one model of a modelList.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (q *inbound) answerValue(code int, v any) {
	b, _ := json.Marshal(v)
	q.answerJSON(code, b)
}

func (g *Gate) serveHealth(q *inbound) {
	a := healthAnswer{
		Host:     g.hostName,
		State:    "live",
		Leased:   g.views.Leased(g.now()),
		Revision: g.views.View().Revision(),
		Running:  g.Running(),
	}
	code := http.StatusOK
	if g.drain.isDraining() {
		a.State, code = "draining", http.StatusServiceUnavailable
	}
	q.answerValue(code, a)
}

// serveAddresses also responds without a lease and while draining, so that callers can find
// another host. A caller without a key gets the list for the empty workspace.
func (g *Gate) serveAddresses(q *inbound) {
	workspace := ""
	if secret := q.secret(); secret != "" {
		k, e := activeKey(g.views.View(), masticview.DigestOf([]byte(secret)))
		if e != nil {
			q.refuse(e)
			return
		}
		workspace = k.Workspace
	}
	list, until := g.addresses.For(workspace, g.now())
	if list == nil {
		list = []masticcall.Address{}
	}
	q.writer.Header().Set("Cache-Control", "no-store")
	q.answerValue(http.StatusOK, AddressAnswer{Addresses: list, ValidUntil: until})
}

func (g *Gate) serveModels(q *inbound) {
	if e := q.authenticate(); e != nil {
		q.refuse(e)
		return
	}
	l := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range q.identity.profile.Models {
		l.Data = append(l.Data, modelItem{ID: m, Object: "model"})
	}
	q.answerValue(http.StatusOK, l)
}

// errNoService returns the error for a service that is not configured.
func errNoService() *masticerror.Error {
	return masticerror.New(masticerror.KindNotFound, "no such service is configured")
}
