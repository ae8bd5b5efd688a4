// Package machine reads what the system states that this process may use.
package machine

import (
	"bytes"
	"io/fs"
	"math"
	"os"
	"path"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// MemoryMB returns the memory of the machine in MiB, or the limit of the process's control group if
// that is less. It returns 0 if the system states neither.
func MemoryMB() int { return memoryMB(os.DirFS("/")) }

func memoryMB(root fs.FS) int {
	limit := int64(math.MaxInt64)
	if total := memTotal(root); total > 0 {
		limit = total
	}
	for _, group := range controlGroups(root) {
		if n := groupLimit(root, group); n > 0 {
			limit = min(limit, n)
		}
	}
	if limit == math.MaxInt64 {
		return 0
	}
	return int(limit >> 20)
}

// memTotal returns the memory of the machine in bytes, or 0.
func memTotal(root fs.FS) int64 {
	b, err := fs.ReadFile(root, "proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			kib, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kib << 10
		}
	}
	return 0
}

// controlGroups returns the files with the memory limits of the process's control group and those
// above it, of either version of the interface.
func controlGroups(root fs.FS) (files []string) {
	b, err := fs.ReadFile(root, "proc/self/cgroup")
	if err != nil {
		return nil
	}
	for line := range strings.Lines(string(b)) {
		fields := strings.SplitN(strings.TrimSpace(line), ":", 3) // ID:CONTROLLERS:PATH
		if len(fields) < 3 {
			continue
		}
		mount, name := "sys/fs/cgroup", "memory.max"
		if fields[1] != "" {
			if !strings.Contains(","+fields[1]+",", ",memory,") {
				continue
			}
			mount, name = "sys/fs/cgroup/memory", "memory.limit_in_bytes"
		}
		for group := path.Join("/", fields[2]); ; group = path.Dir(group) {
			files = append(files, path.Join(mount, group, name))
			if group == "/" {
				break
			}
		}
	}
	return files
}

// groupLimit returns the limit in a file in bytes, or 0 if there is none.
func groupLimit(root fs.FS, file string) int64 {
	b, err := fs.ReadFile(root, file)
	if err != nil {
		return 0
	}
	n, _ := strconv.ParseInt(string(bytes.TrimSpace(b)), 10, 64) // "max" is no limit
	return n
}

// Descriptors returns the number of file descriptors that the process may use, or 0 if it is not
// limited.
func Descriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
