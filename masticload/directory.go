package masticload

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxAddressBytes bounds the answer of GET /v1/addresses.
const maxAddressBytes = 1 << 20

// address is one host to use.
type address struct {
	Address string `json:"address"`
	Weight  int64  `json:"weight"`
}

// addressAnswer is the JSON of GET /v1/addresses.
type addressAnswer struct {
	Addresses  []address `json:"addresses"`
	ValidUntil time.Time `json:"validUntil"`
}

// directory keeps the list of hosts to use until it has run out.
type directory struct {
	client *http.Client
	key    string
	seeds  []string

	mu     sync.Mutex
	random *rand.Rand
	answer addressAnswer
}

// pick returns a host by weight, from a list that holds at now.
func (d *directory) pick(ctx context.Context, now time.Time) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.answer.Addresses) == 0 || !now.Before(d.answer.ValidUntil) {
		if err := d.refresh(ctx); err != nil {
			return "", err
		}
	}
	return d.choose(), nil
}

// forget leaves host out of the present list.
func (d *directory) forget(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answer.Addresses = slices.DeleteFunc(d.answer.Addresses, func(a address) bool { return a.Address == host })
}

func (d *directory) choose() string {
	var total int64
	for _, a := range d.answer.Addresses {
		total += max(a.Weight, 1)
	}
	n := d.random.Int64N(total)
	for _, a := range d.answer.Addresses {
		n -= max(a.Weight, 1)
		if n < 0 {
			return a.Address
		}
	}
	return d.answer.Addresses[0].Address
}

// refresh asks the hosts of the last list and the seeds, until one answers.
func (d *directory) refresh(ctx context.Context) error {
	asked := make([]string, 0, len(d.answer.Addresses)+len(d.seeds))
	for _, a := range d.answer.Addresses {
		asked = append(asked, a.Address)
	}
	var last error
	for _, host := range append(asked, d.seeds...) {
		answer, err := d.ask(ctx, host)
		if err == nil {
			d.answer = answer
			return nil
		}
		last = err
	}
	return last
}

func (d *directory) ask(ctx context.Context, host string) (addressAnswer, error) {
	var answer addressAnswer
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/v1/addresses", http.NoBody)
	if err != nil {
		return answer, err
	}
	q.Header.Set("Authorization", "Bearer "+d.key)
	a, err := d.client.Do(q)
	if err != nil {
		return answer, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return answer, eris.Errorf("load: %s answered %d to /v1/addresses", host, a.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(a.Body, maxAddressBytes)).Decode(&answer); err != nil {
		return answer, eris.Wrapf(err, "load: addresses from %s", host)
	}
	if len(answer.Addresses) == 0 {
		return answer, eris.Errorf("load: %s named no host", host)
	}
	for _, v := range answer.Addresses {
		if err := checkLoopback(v.Address); err != nil {
			return answer, err
		}
	}
	return answer, nil
}
