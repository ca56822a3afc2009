package testbed

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// gatewayPackage is the package of the gateway program.
const gatewayPackage = "github.com/chestnutspring/chestnutspring/cmd/chestnut-gateway"

var (
	buildOnce sync.Once
	builtPath string
	errBuild  error
)

// BuildGateway builds the gateway program once per process and returns its path.
func BuildGateway(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() { builtPath, errBuild = buildGateway() })
	if errBuild != nil {
		t.Fatal(errBuild)
	}
	return builtPath
}

// ModuleRoot returns the root directory of the module.
func ModuleRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", ErrStart.Wrap(err, "go env GOMOD")
	}
	return filepath.Dir(strings.TrimSpace(string(out))), nil
}

// buildGateway builds the program under a temporary name and renames it, because
// other test processes may build it at the same time.
func buildGateway() (string, error) {
	root, err := ModuleRoot()
	if err != nil {
		return "", err
	}
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("chestnut-testbed-%d-%x", os.Getuid(), xxhash.Sum64String(root)))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", ErrStart.Wrap(err, "create the directory for the program")
	}
	path := filepath.Join(dir, fmt.Sprintf("chestnut-gateway-%d", os.Getpid()))
	out, err := exec.Command("go", "build", "-o", path, gatewayPackage).CombinedOutput()
	if err != nil {
		return "", ErrStart.Wrap(err, "build the gateway:\n%s", out)
	}
	final := filepath.Join(dir, "chestnut-gateway")
	if err := os.Rename(path, final); err != nil {
		return "", ErrStart.Wrap(err, "build the gateway")
	}
	return final, nil
}
