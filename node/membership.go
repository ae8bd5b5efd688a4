package node

import (
	"context"
	"net"
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/platform"
)

// vmPollPeriod is how often the VM list is read.
const vmPollPeriod = time.Second

// RoleLabel marks entry VMs in the VM list.
const RoleLabel = "role"

// EntryRole is the RoleLabel value of VMs that run a daemon.
const EntryRole = "entry"

func (n *Node) buildMembership() { n.publishView(nil) }

func (n *Node) runMembership(ctx context.Context) {
	n.spawn(func() { n.watchMembers(ctx) })
}

func (n *Node) watchMembers(ctx context.Context) {
	for ctx.Err() == nil {
		if vms, err := n.platform.VMs(ctx); err == nil {
			n.publishView(vms)
		}
		sleep(ctx, vmPollPeriod)
	}
}

// publishView makes the view from the VM list and this daemon itself.
func (n *Node) publishView(vms []platform.VM) {
	v := &membership.View{Self: n.self, LeavingVMs: make(map[string]bool), Departed: make(map[string]bool)}
	own := membership.Member{Identity: n.self, State: membership.Alive}
	if n.draining.Load() {
		own.State = membership.Leaving
	}
	v.Members = append(v.Members, own)
	for _, vm := range vms {
		if vm.Leaving {
			v.LeavingVMs[vm.ID] = true
		}
		if vm.Labels[RoleLabel] == EntryRole && vm.ID != n.self.ID {
			v.Members = append(v.Members, n.member(vm))
		}
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].ID < v.Members[j].ID })
	n.view.Store(v)
}

// member derives a daemon's addresses: all daemons use the same ports.
func (n *Node) member(vm platform.VM) membership.Member {
	m := membership.Member{State: membership.Alive, Listed: true, Identity: peer.Identity{
		ID: vm.ID, Place: vm.Place, Region: vm.Region,
		APIAddress:  samePort(vm.Address, n.settings.APIAddress),
		PeerAddress: samePort(vm.Address, n.settings.PeerAddress),
	}}
	if vm.Leaving {
		m.State = membership.Leaving
	}
	return m
}

func samePort(ip, own string) string {
	_, port, _ := net.SplitHostPort(own)
	return net.JoinHostPort(ip, port)
}
