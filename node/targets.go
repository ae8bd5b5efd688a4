package node

import (
	"sync"

	"github.com/vanillaroad/vanillaroad/target"
)

// targetPool holds one client per target address. It is safe for concurrent use.
type targetPool struct {
	mu      sync.Mutex
	clients map[string]*target.Client
}

func newTargetPool() *targetPool { return &targetPool{clients: make(map[string]*target.Client)} }

func (p *targetPool) client(address string) *target.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = target.NewClient(address)
		p.clients[address] = c
	}
	return c
}

func (p *targetPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}
