package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// runAsProgramEnv is the environment variable that makes this test binary run as
// figtrack, so that tests can start it as separate processes.
const runAsProgramEnv = "FIGTRACK_TEST_RUN"

// scenarioTimeout ends a scenario that hangs. No assertion depends on its value.
const scenarioTimeout = 2 * time.Minute

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs this test binary as figtrack.
func programCommand(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), runAsProgramEnv+"=1")
	return c
}

// figtrack runs a command and returns its output and exit status.
func figtrack(args ...string) (stdout, stderr string, status int) {
	c := programCommand(args...)
	var out, errOut bytes.Buffer
	c.Stdout = &out
	c.Stderr = &errOut
	_ = c.Run()
	return out.String(), errOut.String(), c.ProcessState.ExitCode()
}

// process is a figtrack command that runs until it is stopped.
type process struct {
	*exec.Cmd
	// firstLine is the line that figtrack fake prints: the address of the stand-in.
	firstLine string
	log       *os.File
	// exited is closed when the process has exited.
	exited chan struct{}
}

// start starts a figtrack process with its stderr in a file, which is printed if
// the test fails.
func (d *deployment) start(name string, args ...string) *process {
	p := &process{Cmd: programCommand(args...), exited: make(chan struct{})}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	d.g.Expect(err).NotTo(HaveOccurred())
	p.log = log
	p.Stderr = log
	stdout, err := p.StdoutPipe()
	d.g.Expect(err).NotTo(HaveOccurred())
	d.g.Expect(p.Cmd.Start()).To(Succeed())
	d.t.Cleanup(func() {
		p.signalAndWait(syscall.SIGKILL)
		if d.t.Failed() {
			text, _ := os.ReadFile(log.Name())
			d.t.Logf("log of %s:\n%s", name, text)
		}
	})
	if args[0] == "fake" {
		line, err := bufio.NewReader(stdout).ReadString('\n')
		d.g.Expect(err).NotTo(HaveOccurred())
		p.firstLine = strings.TrimSpace(line)
	}
	go func() {
		_ = p.Wait()
		close(p.exited)
	}()
	return p
}

// signalAndWait sends a signal, waits until the process exits and returns its exit
// status.
func (p *process) signalAndWait(sig syscall.Signal) int {
	_ = p.Process.Signal(sig)
	<-p.exited
	return p.ProcessState.ExitCode()
}

// deployment runs vmCount VMs with stand-ins for the store and the upstreams, each
// in a process of its own.
type deployment struct {
	t                 testing.TB
	g                 *WithT
	dir               string
	vms               []*process
	callerAddresses   []string
	operatorAddresses []string
	services          []*process
	store             *process
}

const vmCount = 3

// processLoopbackAddress returns a loopback address derived from the process id. No
// other process uses it, so none takes a port after freeAddresses has closed it and
// before a VM listens on it.
func processLoopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255)
}

// freeAddresses returns addresses with different free ports for TCP and UDP sockets.
func freeAddresses(g *WithT, tcp, udp int) (tcpAddresses, udpAddresses []string) {
	for range tcp {
		s, err := net.Listen("tcp", processLoopbackAddress())
		g.Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		tcpAddresses = append(tcpAddresses, s.Addr().String())
	}
	for range udp {
		s, err := net.ListenPacket("udp", processLoopbackAddress())
		g.Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		udpAddresses = append(udpAddresses, s.LocalAddr().String())
	}
	return tcpAddresses, udpAddresses
}

// startDeployment starts the store, the VMs and the upstreams and applies a
// configuration.
func startDeployment(t testing.TB) *deployment {
	d := &deployment{t: t, g: NewWithT(t), dir: t.TempDir()}
	keys := []string{"keys", "--deployment", "trial", "--folder", d.dir, "--operator", "anna"}
	for i := range vmCount {
		keys = append(keys, "--vm", vmName(i))
	}
	_, stderr, status := figtrack(keys...)
	d.g.Expect(status).To(Equal(exitOK), stderr)
	d.store = d.start("store", "fake", "store")
	tcpAddresses, vmAddresses := freeAddresses(d.g, 2*vmCount, vmCount)
	d.callerAddresses, d.operatorAddresses = tcpAddresses[:vmCount], tcpAddresses[vmCount:]
	for i := range vmCount {
		d.startVM(i, vmAddresses)
	}
	_, stderr, status = d.runOperatorCommand(0, "apply", "--wait", d.startUpstreams())
	d.g.Expect(status).To(Equal(exitOK), stderr)
	return d
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i+1) }

// startVM writes the settings of a VM, starts it and waits until it accepts
// connections of operators. vmAddresses are the addresses of all VMs for messages
// between them.
func (d *deployment) startVM(i int, vmAddresses []string) {
	var w strings.Builder
	fmt.Fprintf(&w, "Deployment: trial\nVM: %s\nDataCentre: room-%d\n", vmName(i), i+1)
	fmt.Fprintf(&w, "Callers: {Address: %q}\nOperators: {Address: %q}\n", d.callerAddresses[i], d.operatorAddresses[i])
	fmt.Fprintf(&w, "Store: {Endpoints: [\"http://%s\"]}\nDrain: {Notice: 100ms}\n", d.store.firstLine)
	fmt.Fprintf(&w, "Keys: {Authorities: \"file:%s/authority.pem\", Certificate: \"file:%s/vm-%s.pem\", Key: \"file:%s/vm-%s.key\"}\n",
		d.dir, d.dir, vmName(i), d.dir, vmName(i))
	fmt.Fprintf(&w, "VMs:\n  Address: %q\n  Peers:\n", vmAddresses[i])
	for j := range vmCount {
		if j != i {
			fmt.Fprintf(&w, "    - {VM: %s, DataCentre: room-%d, Address: %q}\n", vmName(j), j+1, vmAddresses[j])
		}
	}
	path := d.writeFile(vmName(i)+".yaml", w.String())
	d.vms = append(d.vms, d.start(vmName(i), "serve", "--config", path))
	d.g.Eventually(func() error {
		conn, err := net.Dial("tcp", d.operatorAddresses[i])
		if err == nil {
			conn.Close()
		}
		return err
	}).WithTimeout(scenarioTimeout).Should(Succeed())
}

func (d *deployment) writeFile(name, text string) string {
	path := filepath.Join(d.dir, name)
	d.g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// startUpstreams starts the upstreams and writes a configuration file that lists
// them. It returns the path of the file.
func (d *deployment) startUpstreams() string {
	var w strings.Builder
	w.WriteString("Classes:\n  - {Name: LoadNote, FirstToken: 5s, PerToken: 500ms, Patience: 30s}\n")
	w.WriteString("Pools:\n  - {Name: desk, Models: [kit-spec], DefaultClass: LoadNote}\n")
	w.WriteString("  - {Name: orders, Prefix: /orders, Repeatable: [GET /stock]}\nUpstreams:\n")
	for _, kind := range []string{"prefill", "decode", "decode"} {
		id := fmt.Sprintf("desk-%d", strings.Count(w.String(), "Pool: desk")+1)
		e := d.start(id, "fake", kind, "--id", id, "--model", "kit-spec")
		role := map[string]string{"prefill": "Prefill", "decode": "Decode, Pieces: 44, Streams: 20"}[kind]
		fmt.Fprintf(&w, "  - {ID: %s, Pool: desk, Role: %s, DataCentre: room-1, Address: %q}\n", id, role, e.firstLine)
	}
	for i := range 2 {
		id := fmt.Sprintf("orders-%d", i+1)
		s := d.start(id, "fake", "service")
		d.services = append(d.services, s)
		fmt.Fprintf(&w, "  - {ID: %s, Pool: orders, Role: Plain, DataCentre: room-1, Address: %q}\n", id, s.firstLine)
	}
	return d.writeFile("configuration.yaml", w.String())
}

// runOperatorCommand runs a command as operator anna against a VM.
func (d *deployment) runOperatorCommand(vm int, args ...string) (stdout, stderr string, status int) {
	return figtrack(append(args, "--address", d.operatorAddresses[vm], "--authorities", d.dir+"/authority.pem",
		"--certificate", d.dir+"/operator-anna.pem", "--key", d.dir+"/operator-anna.key")...)
}

// post sends a caller's request to a VM.
func (d *deployment) post(vm int, path, key, body string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddresses[vm]+path, strings.NewReader(body))
	d.g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(r)
}

func TestExplainAndTimelineReadLogFiles(t *testing.T) {
	g := NewWithT(t)
	out, _, status := figtrack("explain", "r1", "--log", "explainer/testdata/vm-1.log", "--log", "explainer/testdata/vm-2.log")
	g.Expect(status).To(Equal(exitOK))
	g.Expect(out).To(ContainSubstring("ended as broken"))
	out, _, status = figtrack("timeline", "--log", "explainer/testdata/vm-2.log")
	g.Expect(status).To(Equal(exitOK))
	g.Expect(out).To(ContainSubstring("runner d1 of desk gone"))
	_, stderr, status := figtrack("explain", "r9", "--log", "explainer/testdata/vm-2.log")
	g.Expect(status).To(Equal(exitFailed))
	g.Expect(stderr).To(ContainSubstring("give the logs of all VMs"))
	_, stderr, status = figtrack("timeline", "--log", "nowhere.log")
	g.Expect(status).To(Equal(exitUsage))
	g.Expect(stderr).To(ContainSubstring("give the path"))
}
