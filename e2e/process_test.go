package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is a process of a cluster.
type process struct {
	name   string
	args   []string
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
	code   int           // exit code, valid once exited is closed
}

// startProcess starts a process. Its output is appended to the file NAME.log in the directory of the cluster.
func (c *cluster) startProcess(name, program string, args ...string) error {
	p := &process{name: name, args: append([]string{program}, args...)}
	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
	return c.launch(p)
}

func (c *cluster) launch(p *process) error {
	logFile, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.exited = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the exit code is read from ProcessState
		p.code = cmd.ProcessState.ExitCode()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

func (c *cluster) process(name string) (*process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.processes[name]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("unknown process %q", name)
}

func (c *cluster) signal(name string, s syscall.Signal) error {
	p, err := c.process(name)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(s)
}

// waitExit waits until a process exits and returns its exit code.
func (c *cluster) waitExit(name string) (int, error) {
	p, err := c.process(name)
	if err != nil {
		return 0, err
	}
	select {
	case <-p.exited:
		return p.code, nil
	case <-time.After(waitTimeout):
		return 0, fmt.Errorf("%s did not exit within %s", name, waitTimeout)
	}
}

func (c *cluster) kill(name string) error {
	if err := c.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	_, err := c.waitExit(name)
	return err
}

func (c *cluster) restart(name string) error {
	p, err := c.process(name)
	if err != nil {
		return err
	}
	return c.launch(p)
}
