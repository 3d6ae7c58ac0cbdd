# One voter of the fleet's council; three, five or seven of them, each with a folder that lasts, on hosts of their own.
# `reachwind council --config council.hcl` runs it. docs/operators/releases.md tells how it is used.

council {
  name     = "c1"
  listen   = "127.0.0.1:7200"             # peers; one UDP and one TCP port
  admin    = "127.0.0.1:7300"             # commands; loopback only
  folder   = "/var/lib/reachwind/council"
  key_file = "fleet.keys"                 # the fleet's keys
  voter "c1" { address = "127.0.0.1:7200" }   # one block each, itself among them; the same names everywhere
  voter "c2" { address = "127.0.0.1:7201" }
  voter "c3" { address = "127.0.0.1:7202" }

  # Zones whose load may be moved in common, the same in every voter's file; docs/operators/zones.md.
  # zone "akl-east"  { near = ["chc-south"] }
  # zone "chc-south" { near = ["akl-east"] }
}
