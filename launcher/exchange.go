package launcher

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/coordinator"
	"github.com/figtrack/figtrack/exchanger"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/router"
)

// openExchange opens the socket of the exchange between VMs. A VM whose socket can't be
// used still serves callers: it counts as a member that never reports.
func (vm *VM) openExchange(start identifier.Incarnation) {
	vm.self = exchanger.Peer{VM: vm.cfg.VM, Incarnation: start}
	metrics := exchanger.NewMetrics(vm.registry)
	conn, err := listenVMs(vm.cfg.VMs.Address)
	if err != nil {
		vm.log.Error().Str("Address", vm.cfg.VMs.Address).AnErr("Error", err).Msg("ExchangeNotStarted")
		return
	}
	at := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	vm.self.Address, vm.self.Secret = netip.AddrPortFrom(at.Addr().Unmap(), at.Port()), exchanger.NewSecret()
	self := exchanger.Self{VM: vm.cfg.VM, Incarnation: start, Secret: vm.self.Secret}
	vm.exchanger = exchanger.New(self, conn, append(vm.fleet.Sections(), vm.loads), vm.steps, metrics, vm.log)
	vm.fleet.SetExchange(vm.exchanger)
}

// listenVMs opens a socket at an address that other VMs can use.
func listenVMs(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "VMs.Address")
	}
	if at.IP == nil || at.IP.IsUnspecified() {
		return nil, errors.New("VMs.Address names no IP at which other VMs reach this one")
	}
	conn, err := net.ListenUDP("udp", at)
	return conn, errors.Wrap(err, "VMs.Address can't be used; is another program on this port?")
}

// enrol keeps the VM's entry in the roster until ctx ends. It begins after the first listing,
// which shows whether an earlier start of the VM is enrolled, or after coordinator.StartupPeriod, from
// when on that makes no difference.
func (vm *VM) enrol(ctx context.Context) {
	for until := time.Now().Add(coordinator.StartupPeriod); !vm.fleet.IsListed() && time.Now().Before(until); {
		looper.Sleep(ctx, firstViewPollInterval)
	}
	if secret := vm.fleet.FormerSecret(); len(secret) > 0 && vm.exchanger != nil {
		vm.self.Secret = secret
		if entry, err := router.RosterValue(vm.self, vm.cfg.DataCentre); err == nil {
			vm.enroller.SetValue(entry)
		}
	}
	vm.enroller.Run(ctx)
}
