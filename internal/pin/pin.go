//go:build pin

// Package pin keeps modules in go.mod until their first use.
package pin

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
