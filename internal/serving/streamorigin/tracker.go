package streamorigin

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// NodeDirectory returns the records of this node and of the nodes that it knows.
type NodeDirectory interface {
	Self() *wirev1.NodeRecord
	// Disks returns the nodes with disks, which hold the records of origins.
	Disks() []*wirev1.NodeRecord
	Records() []*wirev1.NodeRecord
}

// CallSender calls other nodes; see rpc.Pool.Call.
type CallSender interface {
	Call(ctx context.Context, address string, class rpc.Class, method wirev1.Method, request, reply proto.Message) error
}

// ListUpdater brings this node's list of runners up to date.
type ListUpdater interface {
	// CatchUp returns when the node holds all that the platform's store held after the call, or
	// when the context ends. It returns at once if the store is known not to answer.
	CatchUp(ctx context.Context)
}

// Tracker records the origins of this node's streams at other nodes, holds the records of other
// nodes, and resolves the origins of streams that are resumed here. It is safe for concurrent use.
type Tracker struct {
	directory NodeDirectory
	caller    CallSender
	versions  *runnerset.VersionHistory
	lists     ListUpdater
	table     *Table
	// sending runs the calls that send records, which end with the context sendContext.
	sending     tasks.Group
	sendContext context.Context
	stopSending context.CancelFunc
	records     *prometheus.CounterVec
	resumptions *prometheus.CounterVec
	proofAges   *prometheus.HistogramVec
	refused     prometheus.Counter
}

// New returns a tracker and registers its metrics. versions is this node's history of software
// versions, and lists brings it up to date.
func New(directory NodeDirectory, caller CallSender, versions *runnerset.VersionHistory, lists ListUpdater, registry prometheus.Registerer) *Tracker {
	t := &Tracker{
		directory: directory, caller: caller, versions: versions, lists: lists, table: NewTable(time.Now()),
		records: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_stream_origins_recorded_total", Help: "Streams whose origin was to be recorded, by outcome: confirmed, or unconfirmed when the first event was passed on.",
		}, []string{"outcome"}),
		resumptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_streams_resumed_total", Help: "Requests that resume a stream, by the proof of its software version; none: refused.",
		}, []string{"proof"}),
		proofAges: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cobaltramp_stream_origin_proof_age_seconds", Help: "Age of the list of runners that proved the software version of a resumed stream, by the proof.",
			Buckets: []float64{.01, .05, .25, 1, 2.5, 5, 10},
		}, []string{"proof"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cobaltramp_stream_origins_refused_total", Help: "Records of origins that this node refused because its table was full.",
		}),
	}
	t.sendContext, t.stopSending = context.WithCancel(context.Background())
	registry.MustRegister(t.records, t.resumptions, t.proofAges, t.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cobaltramp_stream_origins_held", Help: "Records of the origins of streams that this node holds.",
	}, func() float64 { return float64(t.table.Len()) }))
	return t
}

// refreshInterval is the time between two checks of the contact with the store.
const refreshInterval = 250 * time.Millisecond

// Run refreshes the history of versions until the context ends, and then ends the calls that send
// records.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.stopSending()
			t.sending.Wait()
			return
		case now := <-ticker.C:
			t.versions.Refresh(now)
		}
	}
}
