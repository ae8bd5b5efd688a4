package machine

import (
	"testing"
	"testing/fstest"
)

// TestMemoryMB guards against a daemon that takes more memory than the system states for it.
func TestMemoryMB(t *testing.T) {
	const meminfo = "MemTotal:       24000512 kB\nMemFree:        1 kB\n"
	for _, c := range []struct {
		name  string
		files map[string]string
		want  int
	}{
		{"nothing is known", nil, 0},
		{"the machine", map[string]string{"proc/meminfo": meminfo}, 23438},
		{"a control group", map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "268435456\n",
		}, 256},
		{"a group above", map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "max\n", "sys/fs/cgroup/a/memory.max": "134217728\n",
		}, 128},
		{"a group of the first version", map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "5:cpu,memory:/a\n1:name=systemd:/a\n", "sys/fs/cgroup/memory/a/memory.limit_in_bytes": "67108864\n",
		}, 64},
		{"a group without a limit", map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "5:memory:/\n", "sys/fs/cgroup/memory/memory.limit_in_bytes": "9223372036854771712\n",
		}, 23438},
		{"a file that can't be read", map[string]string{"proc/meminfo": "MemTotal: many\n", "proc/self/cgroup": "a\n"}, 0},
	} {
		root := fstest.MapFS{}
		for name, text := range c.files {
			root[name] = &fstest.MapFile{Data: []byte(text)}
		}
		if got := memoryMB(root); got != c.want {
			t.Errorf("%s: %d MB, want %d", c.name, got, c.want)
		}
	}
}
