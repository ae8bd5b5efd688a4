package node

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

// processMicros returns the CPU time of this process, user and system, in
// microseconds.
func processMicros() int64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	const microsPerSecond = 1e6
	return (int64(u.Utime.Sec)+int64(u.Stime.Sec))*microsPerSecond + int64(u.Utime.Usec) + int64(u.Stime.Usec)
}

// residentBytes returns the resident memory of this process, or 0 where /proc is not
// available.
func residentBytes() int64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	const residentField = 1
	if len(fields) <= residentField {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[residentField], 10, 64)
	return pages * int64(os.Getpagesize())
}

// ioBytes returns the bytes that this process read and wrote, including sockets and
// logs, or 0 where /proc is not available.
func ioBytes() (read, written int64) {
	b, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "rchar":
			read = n
		case "wchar":
			written = n
		}
	}
	return read, written
}
