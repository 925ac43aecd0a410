package standin

import (
	"net/http"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// DocksFaults are the faults of the plain service.
type DocksFaults struct {
	// DelayMillis delays the response to every booking, after it has taken effect.
	DelayMillis int `json:"delayMillis"`
	// LoseAnswers is the number of bookings whose response is lost after they have
	// taken effect.
	LoseAnswers int `json:"loseAnswers"`
}

// Docks stands in for a plain service that books dock appointments.
type Docks struct {
	Clock clock.Clock

	mu       sync.Mutex
	faults   DocksFaults
	bookings int
	listener listener
}

// Start listens at addr, or at the previous address if addr is empty. Earlier
// bookings are preserved.
func (d *Docks) Start(addr string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /appointments", d.serveBook)
	mux.HandleFunc("GET /appointments", d.serveCount)
	d.listener.handler = mux
	return d.listener.start(addr)
}

// URL returns the URL of the service.
func (d *Docks) URL() string { return d.listener.url() }

// Stop closes all connections and stops listening.
func (d *Docks) Stop() { d.listener.stop() }

// SetFaults replaces the faults.
func (d *Docks) SetFaults(faults DocksFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// Bookings returns the number of bookings that took effect.
func (d *Docks) Bookings() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bookings
}

type dockAnswer struct {
	Number int `json:"number,omitempty"`
	Count  int `json:"count"`
}

func (d *Docks) serveBook(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	d.bookings++
	number := d.bookings
	delay := time.Duration(d.faults.DelayMillis) * time.Millisecond
	lose := d.faults.LoseAnswers > 0
	if lose {
		d.faults.LoseAnswers--
	}
	d.mu.Unlock()
	if delay > 0 {
		<-d.Clock.After(delay)
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, dockAnswer{Number: number, Count: number})
}

func (d *Docks) serveCount(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, dockAnswer{Count: d.Bookings()})
}
