package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// Ports are drawn from firstPort on, portCount of them: below the range that the
// system takes for outgoing connections, so that what is stopped can start again
// on its old address.
const (
	firstPort       = 10000
	portCount       = 22000
	maxPortAttempts = 1000
)

// handedOut are the ports this process has given away: one whose server is down
// for a while must not be given to another.
var allocatedPorts sync.Map

// freeAddresses returns loopback addresses whose ports were free a moment ago.
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
