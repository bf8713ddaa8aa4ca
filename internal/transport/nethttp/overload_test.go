package nethttp

import (
	"testing"

	"github.com/matryer/is"
)

// A node that is overloaded while far more new connections than usual come to it admits what it
// can serve, and at least the usual number of them. Afterwards it admits all again.
func TestOverloadTurnsAwayTheExcess(t *testing.T) {
	is := is.New(t)
	const usual, capacity, herd = 20.0, 400.0, 700.0
	gate := &OverloadGate{share: 1}
	for range 600 {
		gate.update(usual, false)
	}
	is.Equal(gate.share, 1.0)
	admitted, offered := 0.0, 0.0
	for number := range 80 { // 8 s
		gate.update(herd, gate.share*herd > capacity)
		is.True(gate.share*herd >= usual)
		if number >= 30 {
			admitted, offered = admitted+gate.share*herd, offered+capacity
		}
	}
	is.True(admitted < 1.05*offered && admitted > 0.8*offered)
	for range 40 {
		gate.update(usual, false)
	}
	is.Equal(gate.share, 1.0)
	is.True(gate.Admit())
	is.True((*OverloadGate)(nil).Admit())
}

// An overload without more new connections than usual turns none away.
func TestOverloadWithUsualConnectionsAdmitsAll(t *testing.T) {
	is := is.New(t)
	gate := &OverloadGate{share: 1}
	for range 600 {
		gate.update(100, false)
	}
	for range 100 {
		gate.update(100, true)
		is.Equal(gate.share, 1.0)
	}
}

// A process that has just started turns no connection away, whatever its delays, and learns the
// usual rate meanwhile.
func TestNewProcessAdmitsAll(t *testing.T) {
	is := is.New(t)
	gate := &OverloadGate{share: 1}
	for range learnIntervals {
		gate.update(100, true)
		is.Equal(gate.share, 1.0)
	}
	for range 50 {
		gate.update(140, true)
		is.Equal(gate.share, 1.0)
	}
}
