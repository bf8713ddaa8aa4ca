// Package disk opens and closes the database in the data folder of a plain node. It does
// nothing on a plain node without a data folder. A storage node opens its database in modules/batch/queues.
package disk

import (
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
)

// ModuleName registers the module.
const ModuleName = "batch.disk"

func init() {
	kernel.Register(kernel.Info{Name: ModuleName, New: func() kernel.Module { return &Module{} }})
}

// Module provides a *logstore.DB if the settings name a data folder, otherwise nothing.
type Module struct{ db *logstore.DB }

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	loaded, err := kernel.Find[*settings.Settings](ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if loaded.Data.Folder == "" {
		return nil
	}
	if m.db, err = logstore.Open(loaded.Data.Folder, logstore.DiskLimits{ReservedBytes: loaded.Data.ReserveBytes}); err != nil {
		return trace.Wrap(err, "data.folder")
	}
	ctx.Provide(m.db)
	return nil
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	if m.db != nil {
		if err := m.db.Close(); err != nil {
			klog.ErrorS(err, "closing the database failed")
		}
	}
}
