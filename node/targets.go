package node

import (
	"sync"

	"github.com/vanillaroad/vanillaroad/target"
)

// clientPool holds one client per target address. It is safe for concurrent use.
type clientPool struct {
	mu      sync.Mutex
	clients map[string]*target.Client
}

func newClientPool() *clientPool { return &clientPool{clients: make(map[string]*target.Client)} }

func (p *clientPool) client(address string) *target.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = target.NewClient(address)
		p.clients[address] = c
	}
	return c
}

func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}
