// Package standard imports all modules of the standard node program, so that they register
// themselves.
package standard

import (
	// Each package registers its module when it is imported.
	_ "cobaltramp.example/cobaltramp/modules/batch/directory"
	_ "cobaltramp.example/cobaltramp/modules/batch/disk"
	_ "cobaltramp.example/cobaltramp/modules/batch/queues"
	_ "cobaltramp.example/cobaltramp/modules/batch/store"
	_ "cobaltramp.example/cobaltramp/modules/batch/worker"
	_ "cobaltramp.example/cobaltramp/modules/callers/openai"
	_ "cobaltramp.example/cobaltramp/modules/callers/quota"
	_ "cobaltramp.example/cobaltramp/modules/config/bundles"
	_ "cobaltramp.example/cobaltramp/modules/fleet/links"
	_ "cobaltramp.example/cobaltramp/modules/fleet/membership"
	_ "cobaltramp.example/cobaltramp/modules/fleet/runners"
	_ "cobaltramp.example/cobaltramp/modules/operators/admin"
	_ "cobaltramp.example/cobaltramp/modules/platform/etcdgateway"
	_ "cobaltramp.example/cobaltramp/modules/platform/httpsd"
	_ "cobaltramp.example/cobaltramp/modules/roles/cluster"
	_ "cobaltramp.example/cobaltramp/modules/roles/links"
	_ "cobaltramp.example/cobaltramp/modules/roles/metrics"
	_ "cobaltramp.example/cobaltramp/modules/serving/crashes"
	_ "cobaltramp.example/cobaltramp/modules/serving/owner"
	_ "cobaltramp.example/cobaltramp/modules/serving/router"
	_ "cobaltramp.example/cobaltramp/platform"
)
