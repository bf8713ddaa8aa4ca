package zoneload

import (
	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// Limits of a digest.
const (
	maxServices    = 16
	maxZones       = 16
	maxFreeRunners = 4
)

// percent is the unit of the contention in messages.
const percent = 100

// serviceRow is the decoded load of one service in one zone.
type serviceRow struct {
	load ZoneLoad
	free []runnerset.FreeRunner
}

// rowsByService decodes the loads of a digest. It ignores rows beyond the limits of a
// digest, and repeated rows of a zone.
func rowsByService(digest *wirev1.ZoneLoadDigest) map[string][]serviceRow {
	services := map[string][]serviceRow{}
	for _, row := range digest.Loads {
		known, listed := services[row.Service]
		if !listed && len(services) == maxServices || len(known) == maxZones || hasZone(known, row.Zone) {
			continue
		}
		services[row.Service] = append(known, decodeRow(row))
	}
	return services
}

func hasZone(rows []serviceRow, zone string) bool {
	for i := range rows {
		if rows[i].load.Zone == zone {
			return true
		}
	}
	return false
}

func decodeRow(row *wirev1.ServiceZoneLoad) serviceRow {
	decoded := serviceRow{load: ZoneLoad{
		Zone: row.Zone, Runners: float64(row.Runners), Slots: float64(row.Slots),
		Running: float64(row.Running), Batch: float64(row.Batch), Arrivals: row.ArrivalsPerSecond,
		Contention: float64(row.ContentionPercent) / percent,
	}}
	for _, free := range row.Free[:min(maxFreeRunners, len(row.Free))] {
		decoded.free = append(decoded.free, runnerset.FreeRunner{ID: free.Runner, Slots: int(free.FreeSlots)})
	}
	return decoded
}

// reportsContention reports whether the runners of a service report contention. Only such
// services are balanced.
func reportsContention(rows []serviceRow) bool {
	for i := range rows {
		if rows[i].load.Contention > 0 {
			return true
		}
	}
	return false
}

// ownLoad returns the load of a zone; only the name of the zone if it has no row.
func ownLoad(rows []serviceRow, zone string) ZoneLoad {
	for i := range rows {
		if rows[i].load.Zone == zone {
			return rows[i].load
		}
	}
	return ZoneLoad{Zone: zone}
}

func loadsOf(rows []serviceRow) []ZoneLoad {
	loads := make([]ZoneLoad, len(rows))
	for i := range rows {
		loads[i] = rows[i].load
	}
	return loads
}
