package play

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/platform/conf"
	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

const (
	// dataCentreCount is the number of data centres among which the workers are divided. Without one of them, the rest
	// can still hold all guarantees.
	dataCentreCount = 3
	// minEvacuation is the minimum time of an evacuation, so that it outlasts the time in which starts are still allowed.
	minEvacuation = fakes.EvacuationGrace + 3*time.Second
)

// workerDataCentre returns the data centre of a worker by its number.
func workerDataCentre(number int) ident.DataCentre {
	return ident.DataCentre(fmt.Sprintf("dc-%d", number%dataCentreCount))
}

// evacuateDataCentre evacuates a data centre for a time and takes it back.
func evacuateDataCentre(h *harness, rng *rand.Rand, duration time.Duration) error {
	dc := workerDataCentre(rng.IntN(dataCentreCount))
	key := conf.PolicyKey
	key.Name = conf.EvacuationPrefix + string(dc)
	h.writeStore(store.Tx{Put: []store.Put{{Key: key, Value: []byte("{}")}}})
	h.setEvacuated(dc, time.Now())
	clock.Sleep(h.ctx, max(duration, minEvacuation))
	h.setEvacuated(dc, time.Time{})
	h.writeStore(store.Tx{Delete: []store.Key{key}})
	return nil
}

// setEvacuated records for the workers of a data centre since when it is evacuated; zero if it is not.
func (h *harness) setEvacuated(dc ident.DataCentre, since time.Time) {
	for _, w := range h.currentWorkers() {
		h.fleet.Update(func() {
			if w.fake.Entry.DataCentre == dc {
				w.fake.EvacuatedSince = since
			}
		})
	}
}
