// Package examples holds the settings, release notes and stand-in descriptions
// of two deployments, for `dev` and for tests.
package examples

import "embed"

// FS holds one directory for each deployment.
//
//go:embed sakdiphong/*.json campos/*.json
var FS embed.FS
