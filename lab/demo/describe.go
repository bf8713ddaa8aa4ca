package demo

import (
	"io"
	"path/filepath"

	"cobaltramp.example/cobaltramp/lab/fleet"
)

// Describe writes the addresses and keys of a running deployment, and example commands.
func Describe(deployment *fleet.Fleet, folder string, out io.Writer) {
	line := func(format string, args ...any) { printf(out, format+"\n", args...) }
	for _, member := range deployment.Nodes() {
		node := member.Settings.Node
		line("%s  zone %-14s  callers http://%s  operators http://%s", node.ID, node.Zone, node.APIAddress, node.AdminAddress)
	}
	line("platform http://%s", deployment.Platform.URL()[len("http://"):])
	line("model    %s", model)
	line("key      %s (tenant %s)", tenantKey.Key, tenantKey.Tenant)
	first := deployment.Nodes()[0].Settings.Node
	line("\ntry:")
	line(`  curl -s http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","messages":[{"role":"user","content":"is my booking confirmed?"}],"max_tokens":16}'`, first.APIAddress, tenantKey.Key, model)
	line(`  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"what does the waiver cover?"}]}'`, first.APIAddress, tenantKey.Key, model)
	line(`  curl -s http://%s/v1/fleet`, first.AdminAddress)
	line("\noperator operator-1 of cluster %s: key %s, bundle in force %s", cluster, filepath.Join(folder, keyFile), filepath.Join(folder, bundleFile))
	line("\nstop with Ctrl-C")
}
