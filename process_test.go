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

// The scenarios run this test binary as figtrack, in processes of its own.
const runAsProgram = "FIGTRACK_TEST_RUN"

// patience only ends a scenario that hangs; no verdict depends on it.
const patience = 2 * time.Minute

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func program(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), runAsProgram+"=1")
	return c
}

// figtrack runs a command to its end.
func figtrack(args ...string) (stdout, stderr string, status int) {
	c := program(args...)
	var out, problems bytes.Buffer
	c.Stdout = &out
	c.Stderr = &problems
	_ = c.Run()
	return out.String(), problems.String(), c.ProcessState.ExitCode()
}

// process is a program that runs until it is stopped.
type process struct {
	*exec.Cmd
	first string
	log   *os.File
	ended chan struct{}
}

// start starts a program. Its log goes to a file of the test.
func (d *deployment) start(name string, args ...string) *process {
	p := &process{Cmd: program(args...), ended: make(chan struct{})}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	d.g.Expect(err).NotTo(HaveOccurred())
	p.log = log
	p.Stderr = log
	out, err := p.StdoutPipe()
	d.g.Expect(err).NotTo(HaveOccurred())
	d.g.Expect(p.Cmd.Start()).To(Succeed())
	d.t.Cleanup(func() {
		p.end(syscall.SIGKILL)
		if d.t.Failed() {
			text, _ := os.ReadFile(log.Name())
			d.t.Logf("log of %s:\n%s", name, text)
		}
	})
	if args[0] == "fake" {
		line, err := bufio.NewReader(out).ReadString('\n')
		d.g.Expect(err).NotTo(HaveOccurred())
		p.first = strings.TrimSpace(line)
	}
	go func() {
		_ = p.Wait()
		close(p.ended)
	}()
	return p
}

// end sends a signal and returns the exit status.
func (p *process) end(sig syscall.Signal) int {
	_ = p.Process.Signal(sig)
	<-p.ended
	return p.ProcessState.ExitCode()
}

// deployment is three VMs with stand-ins, each a process.
type deployment struct {
	t         testing.TB
	g         *WithT
	folder    string
	vms       []*process
	callers   []string
	operators []string
	services  []*process
	store     *process
}

const vmCount = 3

// ownAddress is a loopback address that no other process uses, so that nobody
// takes a port between its choice here and its use by a VM.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255)
}

// freePorts chooses ports for sockets of both kinds, all different.
func freePorts(g *WithT, tcp, udp int) (tcpPorts, udpPorts []string) {
	for range tcp {
		s, err := net.Listen("tcp", ownAddress())
		g.Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		tcpPorts = append(tcpPorts, s.Addr().String())
	}
	for range udp {
		s, err := net.ListenPacket("udp", ownAddress())
		g.Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		udpPorts = append(udpPorts, s.LocalAddr().String())
	}
	return tcpPorts, udpPorts
}

// deploy starts everything and applies a configuration.
func deploy(t testing.TB) *deployment {
	d := &deployment{t: t, g: NewWithT(t), folder: t.TempDir()}
	keys := []string{"keys", "--deployment", "trial", "--folder", d.folder, "--operator", "anna"}
	for i := range vmCount {
		keys = append(keys, "--vm", vmName(i))
	}
	_, stderr, status := figtrack(keys...)
	d.g.Expect(status).To(Equal(exitOK), stderr)
	d.store = d.start("store", "fake", "store")
	ports, between := freePorts(d.g, 2*vmCount, vmCount)
	d.callers, d.operators = ports[:vmCount], ports[vmCount:]
	for i := range vmCount {
		d.startVM(i, between)
	}
	_, stderr, status = d.operate(0, "apply", "--wait", d.configuration())
	d.g.Expect(status).To(Equal(exitOK), stderr)
	return d
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i+1) }

func (d *deployment) startVM(i int, between []string) {
	var w strings.Builder
	fmt.Fprintf(&w, "Deployment: trial\nVM: %s\nDataCentre: room-%d\n", vmName(i), i+1)
	fmt.Fprintf(&w, "Callers: {Address: %q}\nOperators: {Address: %q}\n", d.callers[i], d.operators[i])
	fmt.Fprintf(&w, "Store: {Endpoints: [\"http://%s\"]}\nDrain: {Notice: 100ms}\n", d.store.first)
	fmt.Fprintf(&w, "Keys: {Authorities: \"file:%s/authority.pem\", Certificate: \"file:%s/vm-%s.pem\", Key: \"file:%s/vm-%s.key\"}\n",
		d.folder, d.folder, vmName(i), d.folder, vmName(i))
	fmt.Fprintf(&w, "VMs:\n  Address: %q\n  Peers:\n", between[i])
	for j := range vmCount {
		if j != i {
			fmt.Fprintf(&w, "    - {VM: %s, DataCentre: room-%d, Address: %q}\n", vmName(j), j+1, between[j])
		}
	}
	path := d.write(vmName(i)+".yaml", w.String())
	d.vms = append(d.vms, d.start(vmName(i), "serve", "--config", path))
	d.g.Eventually(func() error {
		conn, err := net.Dial("tcp", d.operators[i])
		if err == nil {
			conn.Close()
		}
		return err
	}).WithTimeout(patience).Should(Succeed())
}

func (d *deployment) write(name, text string) string {
	path := filepath.Join(d.folder, name)
	d.g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// configuration starts upstreams and writes the file that names them.
func (d *deployment) configuration() string {
	var w strings.Builder
	w.WriteString("Classes:\n  - {Name: LoadNote, FirstToken: 5s, PerToken: 500ms, Patience: 30s}\n")
	w.WriteString("Pools:\n  - {Name: desk, Models: [kit-spec], DefaultClass: LoadNote}\n")
	w.WriteString("  - {Name: orders, Prefix: /orders, Repeatable: [GET /stock]}\nUpstreams:\n")
	for _, kind := range []string{"prefill", "decode", "decode"} {
		id := fmt.Sprintf("desk-%d", strings.Count(w.String(), "Pool: desk")+1)
		e := d.start(id, "fake", kind, "--id", id, "--model", "kit-spec")
		role := map[string]string{"prefill": "Prefill", "decode": "Decode, Pieces: 44, Streams: 20"}[kind]
		fmt.Fprintf(&w, "  - {ID: %s, Pool: desk, Role: %s, DataCentre: room-1, Address: %q}\n", id, role, e.first)
	}
	for i := range 2 {
		id := fmt.Sprintf("orders-%d", i+1)
		s := d.start(id, "fake", "service")
		d.services = append(d.services, s)
		fmt.Fprintf(&w, "  - {ID: %s, Pool: orders, Role: Plain, DataCentre: room-1, Address: %q}\n", id, s.first)
	}
	return d.write("configuration.yaml", w.String())
}

// operate runs an operator's command against a VM.
func (d *deployment) operate(vm int, args ...string) (stdout, stderr string, status int) {
	return figtrack(append(args, "--address", d.operators[vm], "--authorities", d.folder+"/authority.pem",
		"--certificate", d.folder+"/operator-anna.pem", "--key", d.folder+"/operator-anna.key")...)
}

// post sends a caller's request to a VM.
func (d *deployment) post(vm int, path, key, body string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.callers[vm]+path, strings.NewReader(body))
	d.g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(r)
}

func TestLogsTellTheStoryOfARequest(t *testing.T) {
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
