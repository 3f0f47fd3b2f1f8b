package masticfake

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// Order is the JSON of POST /admin/load and POST /admin/role.
type Order struct {
	Model          string `json:"model"`
	WeightsVersion string `json:"weightsVersion"`
	Role           string `json:"role"`
	// Term and Sequence are the fencing token of the order.
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// LoadReport is the JSON of GET /load.
type LoadReport struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Slots       int    `json:"slots"`
	Queued      int    `json:"queued"`
	// QueuedTokens is the number of uncached prompt tokens of requests whose prefill has not ended.
	QueuedTokens int64             `json:"queuedTokens"`
	Models       map[string]string `json:"models"`
	Role         string            `json:"role"`
}

func (o Order) olderThan(term, sequence uint64) bool {
	return o.Term < term || o.Term == term && o.Sequence <= sequence
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "no order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && o.olderThan(e.fenceTerm, e.fenceSequence) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fenceTerm, e.fenceSequence = o.Term, o.Sequence
	e.orders = append(e.orders, o)
	if o.Model != "" {
		e.models[o.Model] = o.WeightsVersion
	}
	if o.Role != "" {
		e.role = o.Role
	}
	writeJSON(w, http.StatusOK, o)
}

// Orders returns the orders that were carried out, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// serveLoad responds with a load report, which is refreshed at most once per loadReportInterval.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(headerIncarnation, e.incarnation)
	if now := time.Now(); now.Sub(e.reportedAt) >= e.loadReportInterval {
		e.reportedAt, e.report = now, e.loadNow()
	}
	writeJSON(w, http.StatusOK, e.report)
}

func (e *Engine) loadNow() LoadReport {
	models := make(map[string]string, len(e.models))
	for m, v := range e.models {
		models[m] = v
	}
	return LoadReport{
		Incarnation:  e.incarnation,
		Running:      e.slots.inUse(),
		Slots:        e.slots.total,
		QueuedTokens: e.queuedTokens,
		Queued:       e.slots.queued(),
		Models:       models,
		Role:         e.role,
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
