package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// Ports are chosen at random from the portCount ports that start at firstPort. This range
// is below the system's range for outgoing connections, so that no connection occupies
// the port of a stopped node or engine.
const (
	firstPort       = 10000
	portCount       = 22000
	maxPortAttempts = 1000
)

// allocatedPorts contains all ports that this process has allocated. A port is never
// allocated twice, because its server may be only temporarily down.
var allocatedPorts sync.Map

// freeAddresses returns loopback addresses with free ports. Another process may take a
// port before it is used.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range maxPortAttempts {
		if len(addresses) == count {
			return addresses, nil
		}
		port := firstPort + rand.IntN(portCount)
		if _, taken := allocatedPorts.LoadOrStore(port, true); taken {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, address)
	}
	return nil, trace.LimitExceeded("no free ports after %d tries", maxPortAttempts)
}
