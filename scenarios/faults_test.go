package scenarios

import (
	"strconv"
	"syscall"

	"github.com/pkg/errors"
)

func cmdCrash(f *fleet, args []string) error {
	f.processNamed(args[0]).kill()
	return nil
}

func cmdStart(f *fleet, args []string) error {
	if err := f.processNamed(args[0]).start(); err != nil {
		return err
	}
	if v := f.vm(args[0]); v != nil {
		return f.awaitReady(v)
	}
	return nil
}

func cmdFreeze(f *fleet, args []string) error {
	f.processNamed(args[0]).signal(syscall.SIGSTOP)
	return nil
}

func cmdThaw(f *fleet, args []string) error {
	f.processNamed(args[0]).signal(syscall.SIGCONT)
	return nil
}

func cmdShutdown(f *fleet, args []string) error {
	f.processNamed(args[0]).signal(syscall.SIGTERM)
	return cmdEnded(f, args)
}

func cmdLeave(f *fleet, args []string) error {
	f.processNamed(args[0]).signal(syscall.SIGTERM)
	return nil
}

func cmdEnded(f *fleet, args []string) error { return f.processNamed(args[0]).wait(waitTimeout) }

func cmdCut(f *fleet, args []string) error { return f.setCut(args, true) }

func cmdHeal(f *fleet, args []string) error { return f.setCut(args, false) }

// setCut cuts or heals the link of an endpoint, the link between a VM and the
// platform, or the links between a VM and its peers.
func (f *fleet) setCut(args []string, cut bool) error {
	if e := f.endpoint(args[0]); e != nil {
		e.link.SetCut(cut)
		return nil
	}
	if args[1] == "platform" {
		f.vm(args[0]).platformLink.SetCut(cut)
		return nil
	}
	f.setPeersCut(args[0], cut)
	return nil
}

// cmdFault sets a fault of the platform stand-in to a boolean, a number or
// else a string.
func cmdFault(f *fleet, args []string) error {
	switch args[1] {
	case "true", "false":
		return f.setFault(args[0], args[1] == "true")
	}
	if n, err := strconv.Atoi(args[1]); err == nil {
		return f.setFault(args[0], n)
	}
	return f.setFault(args[0], args[1])
}

func cmdRunner(f *fleet, args []string) error {
	_, err := post("http://"+f.endpoint(args[0]).process.args[2]+"/admin/behaviour", args[1])
	return err
}

func cmdListed(f *fleet, args []string) error {
	var vms []*vm
	for _, name := range args {
		vms = append(vms, f.vm(name))
	}
	return f.listVMs(vms)
}

func cmdLost(f *fleet, args []string) error {
	lost := 0
	for _, e := range f.engines {
		select {
		case <-e.process.exited:
			lost++
		default:
		}
	}
	if lost > atoiOr(args[0], 0) {
		return errors.Errorf("%d engines have exited, more than %s", lost, args[0])
	}
	return nil
}
