package informer

import (
	"math"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// FillRequest implements peers.Documents. In a large fleet it requests no runners, because
// peers know other subsets of them. If, in a large fleet, relays keep the node up to date,
// it requests neither the configuration nor the layout.
func (i *Informer) FillRequest(request *wirev1.PeerStateRequest) {
	request.HoldsDigest = i.Quarantine.Digest()
	request.RunnersRevision = i.runners.currentRevision()
	if i.Directory.Large() {
		request.RunnersRevision = math.MaxInt64
	}
	if i.Directory.Large() && i.UsesRelay() {
		request.CatalogVersion, request.LayoutDigest = math.MaxUint64, i.Layouts.Digest()
		request.LayoutKnown = true
		return
	}
	if current := i.Catalogs.Current(); current != nil {
		request.CatalogVersion = current.Version
	}
	request.LayoutDigest = i.Layouts.Digest()
}

// FillReply implements peers.Documents. It adds the configuration and the runners if they
// are newer than the revisions in the request, and the layout and the quarantine's holds if
// their digests differ from those in the request. In a large fleet it adds no runners: the
// peer may have asked before it knew that, and relays send it a selection.
func (i *Informer) FillReply(request *wirev1.PeerStateRequest, reply *wirev1.PeerStateReply) {
	if current := i.Catalogs.Current(); current != nil && current.Version > request.CatalogVersion {
		reply.Catalog, reply.CatalogRevision = i.Catalogs.Document()
	}
	if request.LayoutDigest != i.Layouts.Digest() && !request.LayoutKnown {
		reply.Layout = i.Layouts.Documents()
	}
	if request.HoldsDigest != i.Quarantine.Digest() {
		reply.Holds = i.Quarantine.NewestHolds()
	}
	if !i.Directory.Large() {
		reply.Runners, reply.RunnersRevision, reply.HasRunners = i.runners.newerThan(request.RunnersRevision)
	}
}

// ApplyReply implements peers.Documents. It records that a peer has answered this node.
func (i *Informer) ApplyReply(reply *wirev1.PeerStateReply, from string) {
	i.peerAnswered.Store(true)
	if len(reply.Catalog) > 0 {
		i.updateConfig(reply.Catalog, reply.CatalogRevision, from)
	}
	for _, document := range reply.Layout {
		i.Layouts.UpdateIfNewer(document.Key, document.Value, document.Revision, from)
	}
	i.Quarantine.ReceiveHolds(reply.Holds, from)
	if reply.HasRunners && !i.Directory.Large() {
		i.replaceRunners(reply, from)
	}
}

// replaceRunners replaces all runners by those in a peer's reply, if the merger accepts
// them.
func (i *Informer) replaceRunners(reply *wirev1.PeerStateReply, from string) {
	values := make([]ports.Value, 0, len(reply.Runners))
	for _, entry := range reply.Runners {
		values = append(values, ports.Value{Key: string(entry.Key), Value: entry.Value})
	}
	i.merger.ReplaceRunners(reply.RunnersRevision, func() { i.runners.replace(values, reply.RunnersRevision, from) })
}

// Empty implements peers.Documents.
func (i *Informer) Empty() bool { return i.Catalogs.Current() == nil }

// Stale implements peers.Documents.
func (i *Informer) Stale() bool { return i.Contact.Lost() }
