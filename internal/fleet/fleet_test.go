package fleet

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"reachwind/internal/edgeconf"
)

// TestBlock: the block as fixed is read, faults are told with their lines.
func TestBlock(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("fleet.keys", base64.StdEncoding.EncodeToString(make([]byte, 32)))
	write("short.keys", "c2hvcnQ=")
	write("seeds", "# two\n127.0.0.1:1\n127.0.0.1:2\n")
	const good = `fleet {
  listen           = "127.0.0.1:7946"
  advertise        = "127.0.0.1:7946"
  admin            = "127.0.0.1:7100"
  seeds            = ["127.0.0.1:7947"]
  seed_file        = "seeds"
  zone             = "akl-east"
  region           = "north"
  key_file         = "fleet.keys"
  folder           = "/var/lib/reachwind/fleet"
  bytes_per_second = "32KB"
  route "gw-2" { address = "127.0.0.1:9002" }
}
`
	read := func(text string) (c Config, err error) {
		return c, edgeconf.Parse(filepath.Join(dir, "edge.hcl"), []byte(text), func(b *edgeconf.Block) {
			b.Blocks("fleet", false, func(b *edgeconf.Block) { c = ReadConfig(b) })
		})
	}
	c, err := read(good)
	if err != nil || c.Bytes != 32<<10 || c.Zone != "akl-east" || c.Routes["gw-2"] != "127.0.0.1:9002" || c.Keys == nil {
		t.Errorf("read as %+v, %v", c, err)
	}
	_, err = read(strings.NewReplacer(`"127.0.0.1:7100"`, `"10.1.2.3:7100"`, `"127.0.0.1:7947"`, `"nowhere"`, "fleet.keys", "short.keys", `"32KB"`, `"1KB"`, `"seeds"`, `"none"`,
		"zone ", "zoen ").Replace(good))
	for _, want := range []string{`:4:22: admin is "10.1.2.3:7100", want a loopback`, `:5:22: seeds is "nowhere", want host:port`, `:6:22: `, `:7:3: unknown setting "zoen"`,
		`short.keys:1: no key found, want 32 bytes`, `:11:22: bytes_per_second is "1KB"`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in %v", want, err)
		}
	}
}

// TestEpochFile: an epoch is kept whole or not at all; what is torn, flipped or missing is told from it.
func TestEpochFile(t *testing.T) {
	dir := t.TempDir()
	if e, err := readEpoch(dir); e != 0 || err != nil {
		t.Error(e, err)
	}
	if err := writeEpoch(dir, 1<<50); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, epochFile)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		for _, b := range [][]byte{whole[:i], append(append(append([]byte{}, whole[:i]...), whole[i]^4), whole[i+1:]...)} {
			if err := os.WriteFile(path, b, 0o600); err != nil {
				t.Fatal(err)
			}
			if e, err := readEpoch(dir); err == nil && e != 1<<50 {
				t.Errorf("%q read as %d", b, e)
			}
		}
	}
	if err := os.WriteFile(path, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if e, err := readEpoch(dir); e != 1<<50 || err != nil {
		t.Error(e, err)
	}
}
