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

// maxAddressBytes is the maximum size of the answer to GET /v1/addresses.
const maxAddressBytes = 1 << 20

// address is one entry of the host list.
type address struct {
	Address string `json:"address"`
	Weight  int64  `json:"weight"`
}

// addressAnswer is the JSON answer to GET /v1/addresses.
type addressAnswer struct {
	Addresses  []address `json:"addresses"`
	ValidUntil time.Time `json:"validUntil"`
}

// directory caches the host list until it expires.
type directory struct {
	client *http.Client
	key    string
	seeds  []string

	mu     sync.Mutex
	random *rand.Rand
	answer addressAnswer
}

// pick returns a host drawn by weight. It refreshes the list first if it is empty or
// expired at now.
func (d *directory) pick(ctx context.Context, now time.Time) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.answer.Addresses) == 0 || !now.Before(d.answer.ValidUntil) {
		if err := d.refresh(ctx); err != nil {
			return "", err
		}
	}
	return d.chooseByWeight(), nil
}

// remove deletes host from the cached list until the next refresh.
func (d *directory) remove(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answer.Addresses = slices.DeleteFunc(d.answer.Addresses, func(a address) bool { return a.Address == host })
}

func (d *directory) chooseByWeight() string {
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

// refresh fetches the list from the hosts of the last list, then from the seeds, until
// one answers. It returns the last error if none does.
func (d *directory) refresh(ctx context.Context) error {
	hosts := make([]string, 0, len(d.answer.Addresses)+len(d.seeds))
	for _, a := range d.answer.Addresses {
		hosts = append(hosts, a.Address)
	}
	var lastErr error
	for _, host := range append(hosts, d.seeds...) {
		answer, err := d.fetch(ctx, host)
		if err == nil {
			d.answer = answer
			return nil
		}
		lastErr = err
	}
	return lastErr
}

func (d *directory) fetch(ctx context.Context, host string) (addressAnswer, error) {
	var answer addressAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/v1/addresses", http.NoBody)
	if err != nil {
		return answer, err
	}
	request.Header.Set("Authorization", "Bearer "+d.key)
	response, err := d.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, eris.Errorf("load: %s answered %d to /v1/addresses", host, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAddressBytes)).Decode(&answer); err != nil {
		return answer, eris.Wrapf(err, "load: decode addresses from %s", host)
	}
	if len(answer.Addresses) == 0 {
		return answer, eris.Errorf("load: %s returned no addresses", host)
	}
	for _, v := range answer.Addresses {
		if err := checkLoopback(v.Address); err != nil {
			return answer, err
		}
	}
	return answer, nil
}
